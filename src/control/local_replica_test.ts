import { test } from "tap";
import { openFakeLog } from "./fake_log.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createLocalReplica } from "./local_replica.ts";

const [a, b] = [fakeReplica("a"), fakeReplica("b")];

test("a replica answers for its identity only while it takes part", async (t) => {
  const local = createLocalReplica(a);
  t.throws(() => local.openLog(), /not read yet/);
  t.notOk(local.isMeant(""), "nobody is meant before it has entered");
  local.opened(
    await openFakeLog({ membership: { voters: [a], learners: [] } }),
  );
  local.identified("a");
  local.entered();
  t.ok(local.isMeant("a"));
  t.notOk(local.isMeant("b"));
  for (const leave of [local.fail, local.restart, local.stop]) {
    leave();
    t.notOk(local.isMeant("a"), local.role);
  }
});

test("who does not vote is a learner", async (t) => {
  const local = createLocalReplica(b);
  local.opened(
    await openFakeLog({ membership: { voters: [a], learners: [b] } }),
  );
  local.identified("b");
  local.entered();
  t.equal(local.role, "learner");
});

test("a leader that hears of itself keeps its role until it steps down", async (t) => {
  const local = createLocalReplica(a);
  local.opened(
    await openFakeLog({ membership: { voters: [a], learners: [] } }),
  );
  local.identified("a");
  local.entered();
  local.lead();
  local.follow();
  t.equal(local.role, "leader");
  local.stepDown();
  t.equal(local.role, "follower");
  local.fail();
  local.stepDown();
  t.equal(local.role, "failed", "only a leader steps down");
});
