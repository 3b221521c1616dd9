import { test } from "tap";
import { createFakeContext, THREE_VOTERS } from "./fake_context.ts";
import { fakeReplica } from "./fake_replica.ts";
import { askToJoin } from "./joining.ts";
import { createKnownPeers } from "./known_peers.ts";
import { joinMethod } from "./methods.ts";

const [b, c] = [fakeReplica("b"), fakeReplica("c")];

async function build(membership = THREE_VOTERS) {
  const fake = await createFakeContext(membership);
  const asked: string[] = [];
  for (const vm of ["b", "c"]) {
    const peer = await fake.peer(vm);
    peer.handle(joinMethod, ({ identity }) => {
      asked.push(`${identity} asks ${vm}`);
      return Promise.resolve({ accepted: false, leader: "" });
    });
  }
  const controller = new AbortController();
  const peers = createKnownPeers({
    founders: {},
    membership: () => membership,
  });
  void askToJoin({ context: fake.context, peers, signal: controller.signal });
  return { ...fake, controller, asked };
}

test("a learner that is not a member asks peers in rotation until it stops", async (t) => {
  const { context, timer, controller, asked } = await build({
    voters: [b, c],
    learners: [],
  });
  await timer.advance(2 * context.tuning.electionMs + 10);
  t.same(asked, ["a asks b", "a asks c"]);
  context.local.stop();
  controller.abort();
  await timer.advance(5_000);
  t.equal(asked.length, 2);
});

test("a member does not ask to join", async (t) => {
  const { timer, asked } = await build();
  await timer.advance(5_000);
  t.same(asked, []);
});
