import { test } from "tap";
import { createFakeParts, DELAY_MS } from "./fake_parts.ts";
import { fakeReplica } from "./fake_replica.ts";
import { voteMethod } from "./methods.ts";
import { handleVotes } from "./vote_handler.ts";

const REQUEST = {
  to: "a",
  term: 1,
  candidate: "b",
  lastIndex: 1,
  lastTerm: 0,
  pre: false,
  handover: false,
};

async function build() {
  const fake = await createFakeParts();
  handleVotes(fake.parts);
  return {
    ...fake,
    vote: (request: Partial<typeof REQUEST> = {}) =>
      fake.ask(voteMethod, { ...REQUEST, ...request }),
  };
}

test("one candidate has the vote of a term, also when it asks again", async (t) => {
  const { vote, parts, timer } = await build();
  t.same(await vote(), { term: 1, granted: true });
  await timer.advance(parts.tuning.electionMs);
  t.same(await vote({ candidate: "c" }), { term: 1, granted: false });
  t.same(await vote(), { term: 1, granted: true });
});

test("a question is no vote", async (t) => {
  const { vote, parts } = await build();
  t.same(await vote({ pre: true }), { term: 0, granted: true });
  t.match(parts.ballot, { term: 0, votedFor: "" });
});

test("a candidate that lacks entries gets no vote", async (t) => {
  const { vote } = await build();
  t.same(await vote({ lastIndex: 0 }), { term: 1, granted: false });
});

test("nobody is voted for while a leader is heard, but on its own wish", async (t) => {
  const { vote, parts } = await build();
  parts.contact.heard(fakeReplica("c"));
  t.same(await vote(), { term: 0, granted: false });
  t.same(await vote({ handover: true }), { term: 1, granted: true });
});

test("a vote is not given in another replica's name", async (t) => {
  const { vote } = await build();
  t.same(await vote({ to: "a2" }), { term: 0, granted: false });
});

test("a vote that the disk refused was not given", async (t) => {
  const { parts, timer, network, disk, reported } = await build();
  disk.failFrom(1, "no space left on device");
  const reply = network.from("b:1").call({
    peer: "a:1",
    method: voteMethod,
    request: REQUEST,
    timeoutMs: 100,
  });
  await timer.advance(2 * DELAY_MS);
  t.ok((await reply).isErr());
  t.ok(reported.includes("failure"));
  t.match(parts.ballot, { term: 0, votedFor: "" });
});
