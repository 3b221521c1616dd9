/**
 * Peers that answer but accept no entries, since their disks have failed.
 */
import { test } from "tap";
import { createHarness, createSite, type Harness } from "./harness.ts";

const HEARTBEAT_MS = 100;
/** Timeout of a change, as the administration API sets it. */
const CHANGE_TIMEOUT_MS = 8_000;

function listFollowers(harness: Harness) {
  const leader = harness.cluster.leader()!.name;
  return harness.cluster.vms.filter((vm) => vm.name !== leader);
}

function failDisk(vm: Harness["cluster"]["vms"][number]): void {
  vm.disk.failFrom(vm.disk.operations + 1, "no space left on device");
}

/** Counts the calls of one method that are sent to a replica. */
function countCalls(
  harness: Harness,
  to: string,
  method: string,
): { count: number } {
  const calls = { count: 0 };
  const originalDecision = harness.rpc.decideDelivery;
  harness.rpc.decideDelivery = (message) => {
    const matches = message.method === method && !message.reply &&
      message.to.startsWith(to);
    calls.count += matches ? 1 : 0;
    return originalDecision(message);
  };
  return calls;
}

test("a change gets a reply within its timeout although no follower can write", async (t) => {
  const harness = createHarness({ seed: 21 });
  await harness.startCluster();
  const leader = harness.cluster.leader()!;
  listFollowers(harness).forEach(failDisk);
  let ended = false;
  void leader.control.change({
    kind: "change",
    changeId: "waits",
    operator: "ann",
    force: false,
    wallTime: 0,
    action: { kind: "configure", site: createSite(9) },
  }, CHANGE_TIMEOUT_MS).then(() => {
    ended = true;
  });
  await harness.timer.advance(CHANGE_TIMEOUT_MS + 1_000);
  t.ok(ended, "the change has a reply");
});

test("entries are not resent without a pause to a follower that refuses them", async (t) => {
  const harness = createHarness({ seed: 23 });
  await harness.startCluster();
  const [behind] = listFollowers(harness);
  failDisk(behind);
  await harness.change();
  await harness.timer.advance(1_000);
  const calls = countCalls(harness, behind.name, "append");
  await harness.timer.advance(10 * HEARTBEAT_MS);
  t.ok(calls.count <= 22, `${calls.count} calls in ten heartbeats`);
});

test("a snapshot is not resent without a pause to a follower that refuses it", async (t) => {
  const harness = createHarness({ seed: 24, tuning: { snapshotEvery: 8 } });
  await harness.startCluster();
  const [behind] = listFollowers(harness);
  failDisk(behind);
  for (let count = 0; count < 24; count++) {
    await harness.change();
  }
  const calls = countCalls(harness, behind.name, "snapshot");
  await harness.timer.advance(10 * HEARTBEAT_MS);
  t.ok(calls.count <= 22, `${calls.count} calls in ten heartbeats`);
});
