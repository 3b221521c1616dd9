import { test } from "tap";
import { createFakeContext, THREE_VOTERS } from "./fake_context.ts";
import { fakeReplica } from "./fake_replica.ts";
import { askToJoin } from "./joining.ts";
import { createKnownPeers } from "./known_peers.ts";
import { joinMethod } from "./methods.ts";

const [b, c] = [fakeReplica("b"), fakeReplica("c")];

async function build(
  membership = THREE_VOTERS,
  leader = "",
) {
  const fake = await createFakeContext(membership);
  const asked: string[] = [];
  for (const vm of ["b", "c"]) {
    const peer = await fake.peer(vm);
    peer.handle(joinMethod, ({ identity }) => {
      asked.push(`${identity} asks ${vm}`);
      return Promise.resolve({ accepted: false, leader });
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

test("a learner that is not a member asks all peers until it stops", async (t) => {
  const { context, timer, controller, asked } = await build({
    voters: [b, c],
    learners: [],
  });
  await timer.advance(10);
  t.same(asked, ["a asks b", "a asks c"], "at once");
  await timer.advance(context.tuning.electionMs);
  t.same(asked.slice(2), ["a asks b", "a asks c"], "at each election timeout");
  context.local.stop();
  controller.abort();
  await timer.advance(5_000);
  t.equal(asked.length, 4);
});

test("a peer that is gone delays no other", async (t) => {
  const gone = ["x", "y", "z"].map((vm) => fakeReplica(vm));
  const { timer, asked } = await build({ voters: [...gone, b], learners: [] });
  await timer.advance(10);
  t.same(asked, ["a asks b"]);
});

test("the leader that a peer names is asked next", async (t) => {
  const { timer, asked } = await build(
    { voters: [b], learners: [] },
    c.address,
  );
  await timer.advance(10);
  t.same(asked, ["a asks b", "a asks c"]);
});

test("a member does not ask to join", async (t) => {
  const { timer, asked } = await build();
  await timer.advance(5_000);
  t.same(asked, []);
});

test("a member that no leader calls for long asks, since it may be removed", async (t) => {
  const { context, timer, asked } = await build();
  await timer.advance(5_000);
  context.contact.recordContact(b);
  await timer.advance(5_000);
  t.same(asked, [], "a leader has called it");
  await timer.advance(2_000);
  t.ok(asked.includes("a asks b"));
});
