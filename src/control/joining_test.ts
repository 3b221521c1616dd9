import { test } from "tap";
import { createFakeParts, THREE_VOTERS } from "./fake_parts.ts";
import { fakeReplica } from "./fake_replica.ts";
import { askToJoin } from "./joining.ts";
import { createKnownPeers } from "./known_peers.ts";
import { joinMethod } from "./methods.ts";

const [b, c] = [fakeReplica("b"), fakeReplica("c")];

async function build(membership = THREE_VOTERS) {
  const fake = await createFakeParts(membership);
  const asked: string[] = [];
  for (const vm of ["b", "c"]) {
    const peer = await fake.peer(vm);
    peer.handle(joinMethod, ({ identity }) => {
      asked.push(`${identity} asks ${vm}`);
      return Promise.resolve({ accepted: false, leader: "" });
    });
  }
  const ending = new AbortController();
  const peers = createKnownPeers({
    founders: {},
    membership: () => membership,
  });
  void askToJoin({ parts: fake.parts, peers, signal: ending.signal });
  return { ...fake, ending, asked };
}

test("a learner that no membership holds asks peers in turn, until it stops", async (t) => {
  const { parts, timer, ending, asked } = await build({
    voters: [b, c],
    learners: [],
  });
  await timer.advance(2 * parts.tuning.electionMs + 10);
  t.same(asked, ["a asks b", "a asks c"]);
  parts.local.stop();
  ending.abort();
  await timer.advance(5_000);
  t.equal(asked.length, 2);
});

test("a member asks nobody", async (t) => {
  const { timer, asked } = await build();
  await timer.advance(5_000);
  t.same(asked, []);
});
