import { test } from "tap";
import { openFakeLog } from "./fake_log.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createLocalReplica } from "./local_replica.ts";

const [a, b] = [fakeReplica("a"), fakeReplica("b")];

test("a replica accepts calls for its identity only while it takes part", async (t) => {
  const local = createLocalReplica(a);
  t.throws(() => local.openLog(), /not read yet/);
  t.notOk(
    local.acceptsCallsFor(""),
    "a replica accepts no calls before it takes part",
  );
  local.setLog(
    await openFakeLog({ membership: { voters: [a], learners: [] } }),
  );
  local.setIdentity("a");
  local.activate();
  t.ok(local.acceptsCallsFor("a"));
  t.notOk(local.acceptsCallsFor("b"));
  for (const leave of [local.fail, local.restart, local.stop]) {
    leave();
    t.notOk(local.acceptsCallsFor("a"), local.role);
  }
});

test("a replica that is not a voter is a learner", async (t) => {
  const local = createLocalReplica(b);
  local.setLog(
    await openFakeLog({ membership: { voters: [a], learners: [b] } }),
  );
  local.setIdentity("b");
  local.activate();
  t.equal(local.role, "learner");
});

test("a leader keeps its role until it steps down", async (t) => {
  const local = createLocalReplica(a);
  local.setLog(
    await openFakeLog({ membership: { voters: [a], learners: [] } }),
  );
  local.setIdentity("a");
  local.activate();
  local.lead();
  local.follow();
  t.equal(local.role, "leader");
  local.stepDown();
  t.equal(local.role, "follower");
  local.fail();
  local.stepDown();
  t.equal(local.role, "failed", "only a leader steps down");
});
