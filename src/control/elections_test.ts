import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { createElections } from "./elections.ts";
import { createFakeParts, type FakeParts } from "./fake_parts.ts";
import { fakeReplica } from "./fake_replica.ts";
import { voteMethod } from "./methods.ts";

const SEED = 1;

async function build() {
  const fake = await createFakeParts();
  const won: number[] = [];
  const ending = new AbortController();
  const elections = createElections({
    parts: fake.parts,
    random: createSeededRandom(SEED),
    signal: ending.signal,
    onWon: (term) => {
      won.push(term);
      fake.parts.local.lead();
    },
  });
  return { ...fake, elections, ending, won };
}

/** Lets peer `b` answer candidates; returns what it was asked. */
async function answerVotes(
  fake: FakeParts,
  answer: (pre: boolean) => { term: number; granted: boolean },
): Promise<{ pre: boolean; term: number }[]> {
  const asked: { pre: boolean; term: number }[] = [];
  const peer = await fake.peer("b");
  peer.handle(voteMethod, ({ pre, term }) => {
    asked.push({ pre, term });
    return Promise.resolve(answer(pre));
  });
  return asked;
}

test("a silent leader is followed by a question, a vote and leading", async (t) => {
  const fake = await build();
  const asked = await answerVotes(fake, () => ({ term: 0, granted: true }));
  void fake.elections.run();
  await fake.timer.advance(599);
  t.same(asked, []);
  await fake.timer.advance(621);
  t.same(asked, [{ pre: true, term: 1 }, { pre: false, term: 1 }]);
  t.same(fake.won, [1]);
  t.match(fake.parts.ballot, { term: 1, votedFor: "a" });
});

test("nobody stands while a leader is heard, or after the stop", async (t) => {
  const fake = await build();
  const asked = await answerVotes(fake, () => ({ term: 0, granted: true }));
  void fake.elections.run();
  for (let beat = 0; beat < 30; beat++) {
    fake.parts.contact.heard(fakeReplica("b"));
    await fake.timer.advance(100);
  }
  fake.ending.abort();
  await fake.timer.advance(5_000);
  t.same(asked, []);
});

test("a question that is denied leaves the term alone", async (t) => {
  const fake = await build();
  await answerVotes(fake, () => ({ term: 0, granted: false }));
  void fake.elections.campaign({ handover: false });
  await fake.timer.advance(fake.parts.tuning.callMs + 10);
  t.equal(fake.parts.ballot.term, 0);
  t.same(fake.won, []);
});

test("a newer term that a voter tells of is taken over", async (t) => {
  const fake = await build();
  await answerVotes(fake, () => ({ term: 7, granted: false }));
  void fake.elections.campaign({ handover: true });
  await fake.timer.advance(fake.parts.tuning.callMs + 10);
  t.match(fake.parts.ballot, { term: 7, votedFor: "" });
  t.same(fake.won, []);
});

test("a replica that peers vouched for waits less the first time", async (t) => {
  const fake = await build();
  const asked = await answerVotes(fake, () => ({ term: 0, granted: true }));
  fake.elections.entered({ vouched: true });
  void fake.elections.run();
  await fake.timer.advance(200);
  t.equal(asked.length, 2);
});
