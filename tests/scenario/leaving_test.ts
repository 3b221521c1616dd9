/**
 * Backend servers and nodes that leave, and the announcements after that.
 */
import { test } from "tap";
import { startSmallWorld } from "./small_world.ts";
import { SERVICE, type World } from "./world.ts";

function membersKnownTo(world: World, name: string): string[] {
  const { directory } = world.vm(name).node;
  return directory.service(SERVICE)!.members.map((member) => member.server);
}

test("a server that left is not registered again for the same boot", async (t) => {
  const world = await startSmallWorld({ seed: 5, servers: 2 });
  const vm = world.vm("vm2");
  void vm.node.leave(vm.server.boot);
  await world.timer.advance(4_000);
  t.same(membersKnownTo(world, "vm1"), ["vm1"]);
  vm.server.start();
  await world.timer.advance(4_000);
  t.same(
    membersKnownTo(world, "vm1").sort(),
    ["vm1", "vm2"],
    "a new boot is registered",
  );
});

test("a node that stops is not registered again by announcements", async (t) => {
  const world = await startSmallWorld({ seed: 5, servers: 2 });
  const vm = world.vm("vm2");
  void vm.node.drain().then(() => vm.node.stop());
  await world.timer.advance(4_000);
  t.same(membersKnownTo(world, "vm1"), ["vm1"]);
});

test("a node stops in time even if control does not answer", async (t) => {
  const world = await startSmallWorld({ seed: 11, servers: 2 });
  world.rpc.decideDelivery = ({ from }) => ({
    lost: from === "vm1",
    delayMs: 1,
  });
  let stopped = false;
  void world.vm("vm1").node.stop().then(() => {
    stopped = true;
  });
  // After the drain 13 % of the 6 s until SIGKILL remain: 780 ms.
  await world.timer.advance(780);
  t.ok(stopped, "the node does not wait longer for control");
});

test("a request past its deadline does not delay a planned stop", async (t) => {
  const world = await startSmallWorld({ seed: 12, servers: 2 });
  world.vm("vm1").server.crash();
  world.vm("vm2").server.hangs = true;
  await world.timer.advance(1_000);
  const call = world.call({ via: "vm1", path: "/pay/1", method: "POST" });
  await world.timer.advance(50);
  t.equal(world.vm("vm2").node.guard.load().inFlight, 1, "the request runs");
  let drained = false;
  void world.vm("vm2").node.drain().then(() => {
    drained = true;
  });
  await world.timer.advance(1_900);
  t.notOk(drained, "the drain waits until the deadline");
  // The deadline is 2 s after the call, plus the time for its answer.
  await world.timer.advance(300);
  t.ok(drained);
  t.equal(call.reply?.status, 504);
});
