/**
 * What a node knows of its backend server after a start of its own, before the
 * server announces itself again.
 */
import { test } from "tap";
import { startSmallWorld } from "./small_world.ts";
import type { World } from "./world.ts";

const RESTART_MS = 1_000;

/** Starts vm2's node again; its server announces itself no more. */
async function restartSilently(world: World): Promise<void> {
  world.killNode("vm2");
  await world.startNode("vm2");
  world.vm("vm2").announcing = false;
  await world.timer.advance(RESTART_MS);
}

test("a server that is there and well is served at once", async (t) => {
  const world = await startSmallWorld({ seed: 7, servers: 2 });
  const { boot } = world.vm("vm2").server;
  await restartSilently(world);
  t.equal(world.vm("vm2").node.guard.announced?.boot, boot);
  world.vm("vm1").server.crash();
  const call = world.call({ via: "vm1", path: "/look/1" });
  await world.timer.advance(500);
  t.equal(call.reply?.status, 200);
});

test("one that has left stays away, also once its leave is recorded", async (t) => {
  const world = await startSmallWorld({ seed: 8, servers: 2 });
  const { node, server } = world.vm("vm2");
  let recorded = false;
  world.vm("vm2").announcing = false;
  void node.leave(server.boot, () => {
    recorded = true;
  });
  await world.timer.advance(300);
  t.ok(recorded, "control has recorded it");
  await restartSilently(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});

test("one that says that it leaves is not taken up", async (t) => {
  const world = await startSmallWorld({ seed: 9, servers: 2 });
  world.vm("vm2").server.leaves = true;
  await restartSilently(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});

test("another start than the registered one has to announce itself", async (t) => {
  const world = await startSmallWorld({ seed: 10, servers: 2 });
  world.vm("vm2").server.start();
  await restartSilently(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});
