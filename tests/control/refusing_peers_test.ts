/**
 * Peers that answer but take nothing, since their disks have failed.
 */
import { test } from "tap";
import { createLab, type Lab, siteWith } from "./lab.ts";

const HEARTBEAT_MS = 100;
/** Time limit of a change, as the administration API sets it. */
const CHANGE_TIMEOUT_MS = 8_000;

function followers(lab: Lab) {
  const leader = lab.cluster.leader()!.name;
  return lab.cluster.vms.filter((vm) => vm.name !== leader);
}

function failDisk(vm: Lab["cluster"]["vms"][number]): void {
  vm.disk.failFrom(vm.disk.operations + 1, "no space left on device");
}

/** Counts calls of one kind that reach a replica. */
function countCalls(lab: Lab, to: string, method: string): { count: number } {
  const calls = { count: 0 };
  const plain = lab.rpc.fate;
  lab.rpc.fate = (passage) => {
    const counts = passage.method === method && !passage.reply &&
      passage.to.startsWith(to);
    calls.count += counts ? 1 : 0;
    return plain(passage);
  };
  return calls;
}

test("a change gets an answer in its time limit though no follower can write", async (t) => {
  const lab = createLab({ seed: 21 });
  await lab.begin();
  const leader = lab.cluster.leader()!;
  followers(lab).forEach(failDisk);
  let ended = false;
  void leader.control.change({
    kind: "change",
    changeId: "waits",
    operator: "ann",
    force: false,
    wallTime: 0,
    action: { kind: "configure", site: siteWith(9) },
  }, CHANGE_TIMEOUT_MS).then(() => {
    ended = true;
  });
  await lab.timer.advance(CHANGE_TIMEOUT_MS + 1_000);
  t.ok(ended, "the operator is told something");
});

test("entries are not sent without a pause to a follower that refuses them", async (t) => {
  const lab = createLab({ seed: 23 });
  await lab.begin();
  const [behind] = followers(lab);
  failDisk(behind);
  await lab.change();
  await lab.timer.advance(1_000);
  const calls = countCalls(lab, behind.name, "append");
  await lab.timer.advance(10 * HEARTBEAT_MS);
  t.ok(calls.count <= 22, `${calls.count} calls in ten heartbeats`);
});

test("a snapshot is not sent without a pause to a follower that refuses it", async (t) => {
  const lab = createLab({ seed: 24, tuning: { snapshotEvery: 8 } });
  await lab.begin();
  const [behind] = followers(lab);
  failDisk(behind);
  for (let count = 0; count < 24; count++) {
    await lab.change();
  }
  const calls = countCalls(lab, behind.name, "snapshot");
  await lab.timer.advance(10 * HEARTBEAT_MS);
  t.ok(calls.count <= 22, `${calls.count} calls in ten heartbeats`);
});
