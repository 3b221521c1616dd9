/**
 * What a replica does and says before it has read its disk.
 */
import { test } from "tap";
import { helloMethod } from "../../src/control/methods.ts";
import { createLab } from "./lab.ts";

test("a replica whose first disk access fails leads once the disk works", async (t) => {
  const lab = createLab({ seed: 41, replicas: 1 });
  const [{ name, disk }] = lab.cluster.vms;
  disk.failFrom(1, "no space left on device");
  await lab.cluster.start(name);
  await lab.timer.advance(3_000);
  t.equal(lab.cluster.vm(name).control.replica.status().role, "failed");
  disk.repair();
  await lab.timer.advance(20_000);
  t.equal(lab.cluster.vm(name).control.replica.status().role, "leader");
});

test("a replica that could not read its disk does not say that no cluster was formed", async (t) => {
  const lab = createLab({ seed: 42 });
  await lab.begin();
  await lab.change();
  lab.cluster.kill("control1");
  lab.cluster.vm("control1").disk.corrupt("vote", 9);
  await lab.cluster.start("control1");
  await lab.timer.advance(1_000);
  const hello = lab.rpc.from("control9").call({
    peer: lab.cluster.vm("control1").address,
    method: helloMethod,
    request: { identity: "", lastIndex: 0, term: 0 },
    timeoutMs: 500,
  });
  await lab.timer.advance(600);
  const reply = await hello;
  t.not(reply.isOk() && reply.value.formed, false, "or it does not answer");
});

test("a cluster that was formed is not founded anew beside damaged disks", async (t) => {
  const lab = createLab({ seed: 43 });
  await lab.begin();
  await lab.change();
  await lab.converge();
  for (const { name } of [...lab.cluster.vms]) {
    lab.cluster.kill(name);
  }
  lab.cluster.vm("control1").disk.corrupt("vote", 9);
  lab.cluster.vm("control2").disk.corrupt("vote", 9);
  lab.cluster.vm("control3").disk.wipe();
  await lab.cluster.startAll();
  await lab.timer.advance(5_000);
  const status = lab.cluster.vm("control3").control.replica.status();
  t.equal(status.role, "starting", `it is ${status.identity}`);
});
