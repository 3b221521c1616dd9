/**
 * What a restarted node knows of its backend server before the server announces
 * itself again.
 */
import { test } from "tap";
import { startSmallWorld } from "./small_world.ts";
import type { World } from "./world.ts";

const SETTLE_MS = 1_000;

/** Restarts vm2's node, whose server sends no further announcements. */
async function restartWithoutAnnouncements(world: World): Promise<void> {
  world.killNode("vm2");
  await world.startNode("vm2");
  world.vm("vm2").announcing = false;
  await world.timer.advance(SETTLE_MS);
}

test("a restarted node restores a healthy server at once", async (t) => {
  const world = await startSmallWorld({ seed: 7, servers: 2 });
  const { boot } = world.vm("vm2").server;
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced?.boot, boot);
  world.vm("vm1").server.crash();
  const call = world.call({ via: "vm1", path: "/look/1" });
  await world.timer.advance(500);
  t.equal(call.reply?.status, 200);
});

test("a restarted node does not restore a server whose leave is recorded", async (t) => {
  const world = await startSmallWorld({ seed: 8, servers: 2 });
  const { node, server } = world.vm("vm2");
  let recorded = false;
  world.vm("vm2").announcing = false;
  void node.leave(server.boot, () => {
    recorded = true;
  });
  await world.timer.advance(300);
  t.ok(recorded, "control has recorded the leave");
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});

test("a restarted node does not restore a server that reports its leaving", async (t) => {
  const world = await startSmallWorld({ seed: 9, servers: 2 });
  world.vm("vm2").server.reportsLeaving = true;
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});

test("a restarted node does not restore a server with another boot", async (t) => {
  const world = await startSmallWorld({ seed: 10, servers: 2 });
  world.vm("vm2").server.start();
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});
