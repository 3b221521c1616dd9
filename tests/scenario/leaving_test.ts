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

/** Sends 50 calls a second through one node. */
async function sendCalls(
  world: World,
  options: { via: string; durationMs: number },
): Promise<void> {
  for (let ms = 0; ms < options.durationMs; ms += 20) {
    void world.call({ via: options.via, path: `/look/${ms}` });
    await world.timer.advance(20);
  }
}

/** Time in which a server that says that it leaves may still get requests. */
const DRAIN_MS = 2_000;

function countSince(world: World, name: string, since: number): number {
  return world.vm(name).server.executions.filter(({ at }) => at > since).length;
}

test("a server that says in its answers that it leaves gets no more requests", async (t) => {
  const world = await startSmallWorld({
    seed: 21,
    servers: 3,
    reportsLoad: true,
  });
  await sendCalls(world, { via: "vm3", durationMs: 1_000 });
  world.vm("vm1").server.saysLeaving = true;
  const since = world.timer.now() + DRAIN_MS;
  await sendCalls(world, { via: "vm3", durationMs: 6_000 });
  t.equal(countSince(world, "vm1", since), 0);
  const failed = world.calls.filter(({ reply }) =>
    reply !== undefined && reply.status !== 200
  );
  t.equal(failed.length, 0, "the other servers answer");
});

test("a leaving server gets no requests from nodes that heard of it after its own node restarts and has not", async (t) => {
  const world = await startSmallWorld({
    seed: 22,
    servers: 3,
    reportsLoad: true,
  });
  await sendCalls(world, { via: "vm3", durationMs: 1_000 });
  const { server } = world.vm("vm1");
  // Control records nothing of the leave, so that only those nodes know of it.
  world.rpc.decideDelivery = ({ method }) => ({
    lost: method === "depart",
    delayMs: 1,
  });
  server.saysLeaving = true;
  await sendCalls(world, { via: "vm3", durationMs: 1_000 });
  const since = world.timer.now() + DRAIN_MS;
  await sendCalls(world, { via: "vm3", durationMs: DRAIN_MS });
  // The restarted node learns nothing of the leave: its server's health checks
  // hang, and it announces itself as before.
  server.healthChecksHang = true;
  world.killNode("vm1");
  const restarting = world.startNode("vm1");
  await sendCalls(world, { via: "vm3", durationMs: 4_000 });
  await restarting;
  t.equal(world.vm("vm1").node.guard.announced?.boot, server.boot);
  t.equal(countSince(world, "vm1", since), 0);
});

test("a server that says that it leaves gets no more requests from nodes that control does not reach", async (t) => {
  const world = await startSmallWorld({
    seed: 25,
    servers: 3,
    reportsLoad: true,
  });
  await sendCalls(world, { via: "vm3", durationMs: 1_000 });
  // Neither the server's node nor the one that sends can call control.
  world.rpc.decideDelivery = ({ from }) => ({
    lost: from === "vm1" || from === "vm3",
    delayMs: 1,
  });
  world.vm("vm1").server.saysLeaving = true;
  const since = world.timer.now() + DRAIN_MS;
  await sendCalls(world, { via: "vm3", durationMs: 6_000 });
  t.equal(countSince(world, "vm1", since), 0);
});

test("a new run of a server that left gets requests", async (t) => {
  const world = await startSmallWorld({
    seed: 23,
    servers: 2,
    reportsLoad: true,
  });
  const { server } = world.vm("vm1");
  server.saysLeaving = true;
  await sendCalls(world, { via: "vm2", durationMs: 2_000 });
  server.saysLeaving = false;
  server.start();
  const since = world.timer.now();
  await sendCalls(world, { via: "vm2", durationMs: 4_000 });
  t.ok(countSince(world, "vm1", since) > 0);
});

test("a late answer of an earlier run does not make the present one leave", async (t) => {
  const world = await startSmallWorld({
    seed: 24,
    servers: 1,
    reportsLoad: true,
  });
  const { node, server } = world.vm("vm1");
  world.vm("vm1").announcing = false;
  server.healthChecksHang = true;
  server.slowness = 40;
  server.saysLeaving = true;
  const late = world.call({ via: "vm1", path: "/look/late" });
  await world.timer.advance(10);
  t.equal(server.executions.length, 1, "the request runs");
  const next = { ...node.guard.announced!, boot: "next", sequence: 1 };
  void node.announce(next);
  await world.timer.advance(1_500);
  t.equal(late.reply?.status, 200);
  t.notOk(node.guard.status().draining);
});
