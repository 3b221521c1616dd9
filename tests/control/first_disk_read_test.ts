/**
 * Behaviour of a replica that has not been able to read its disk.
 */
import { test } from "tap";
import { helloMethod } from "../../src/control/methods.ts";
import { createHarness } from "./harness.ts";

test("a replica whose first disk access fails leads after the disk is repaired", async (t) => {
  const harness = createHarness({ seed: 41, replicas: 1 });
  const [{ name, disk }] = harness.cluster.vms;
  disk.failFrom(1, "no space left on device");
  await harness.cluster.start(name);
  await harness.timer.advance(3_000);
  t.equal(harness.cluster.vm(name).control.replica.status().role, "failed");
  disk.clearFailure();
  await harness.timer.advance(20_000);
  t.equal(harness.cluster.vm(name).control.replica.status().role, "leader");
});

test("a replica that cannot read its disk does not report that no cluster was formed", async (t) => {
  const harness = createHarness({ seed: 42 });
  await harness.startCluster();
  await harness.change();
  harness.cluster.kill("control1");
  harness.cluster.vm("control1").disk.corrupt("vote", 9);
  await harness.cluster.start("control1");
  await harness.timer.advance(1_000);
  const pendingReply = harness.rpc.from("control9").call({
    peer: harness.cluster.vm("control1").address,
    method: helloMethod,
    request: { identity: "", lastIndex: 0, term: 0 },
    timeoutMs: 500,
  });
  await harness.timer.advance(600);
  const reply = await pendingReply;
  t.not(
    reply.isOk() && reply.value.formed,
    false,
    "the replica reports that no cluster was formed, or does not answer",
  );
});

test("a replica with an empty disk founds no new cluster beside peers with damaged disks", async (t) => {
  const harness = createHarness({ seed: 43 });
  await harness.startCluster();
  await harness.change();
  await harness.waitForConvergence();
  for (const { name } of [...harness.cluster.vms]) {
    harness.cluster.kill(name);
  }
  harness.cluster.vm("control1").disk.corrupt("vote", 9);
  harness.cluster.vm("control2").disk.corrupt("vote", 9);
  harness.cluster.vm("control3").disk.wipe();
  await harness.cluster.startAll();
  await harness.timer.advance(5_000);
  const status = harness.cluster.vm("control3").control.replica.status();
  t.equal(
    status.role,
    "starting",
    `control3 has the identity ${status.identity}`,
  );
});
