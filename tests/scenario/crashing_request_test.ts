/**
 * Guards against requests that crash backend servers and that guards forget, or
 * never hear of: each such guard ran the request again, and its server crashed.
 */
import { test } from "tap";
import { startSmallWorld } from "./small_world.ts";
import type { World } from "./world.ts";

const SERVERS = 6;
const POISON = "/look/poison";
/** Crashes after which the request is refused everywhere. */
const MOST_CRASHES = 2;

async function startPoisonedWorld(seed: number): Promise<World> {
  const world = await startSmallWorld({ seed, servers: SERVERS });
  for (const { server } of world.vms) {
    server.crashingPath = "poison";
  }
  return world;
}

/** Starts crashed servers again, and returns how many there were. */
function restartCrashed(world: World): number {
  const crashed = world.vms.filter(({ server }) => !server.up);
  crashed.forEach(({ server }) => server.start());
  return crashed.length;
}

/** Sends the request through a node; returns how many servers crashed. */
async function sendPoison(world: World, via: string): Promise<number> {
  world.call({ via, path: POISON });
  await world.timer.advance(1_000);
  const crashes = restartCrashed(world);
  await world.timer.advance(2_000);
  return crashes;
}

/** Sends the request through each node in turn. */
async function sendEverywhere(world: World): Promise<number> {
  let crashes = 0;
  for (const { name } of world.vms) {
    crashes += await sendPoison(world, name);
  }
  return crashes;
}

async function restartNode(world: World, name: string): Promise<void> {
  world.killNode(name);
  await world.startNode(name);
  await world.timer.advance(3_000);
}

test("nodes that restart in turn refuse a request that crashed servers", async (t) => {
  const world = await startPoisonedWorld(31);
  t.equal(await sendEverywhere(world), MOST_CRASHES);
  for (const { name } of world.vms) {
    await restartNode(world, name);
    t.equal(await sendPoison(world, name), 0, name);
  }
});

test("nodes that restart between two crashes still count the first one", async (t) => {
  const world = await startPoisonedWorld(32);
  let crashes = 0;
  while (crashes === 0) {
    crashes += await sendPoison(world, "vm1");
  }
  for (const { name } of world.vms) {
    await restartNode(world, name);
  }
  for (let round = 0; round < 3; round++) {
    crashes += await sendEverywhere(world);
  }
  t.equal(crashes, MOST_CRASHES);
});

test("nodes that are all killed at once remember it", async (t) => {
  const world = await startPoisonedWorld(33);
  t.equal(await sendEverywhere(world), MOST_CRASHES);
  world.vms.forEach(({ name }) => world.killNode(name));
  await Promise.all(world.vms.map(({ name }) => world.startNode(name)));
  await world.timer.advance(4_000);
  t.equal(await sendEverywhere(world), 0);
});

test("guards that do not hear each other learn it from control", async (t) => {
  const world = await startPoisonedWorld(34);
  world.network.replaceFrames((frame) =>
    frame.kind === "suspicion" ? undefined : frame
  );
  t.equal(await sendEverywhere(world), MOST_CRASHES);
});

test("a crash that control did not record in time is reported again", async (t) => {
  const world = await startPoisonedWorld(35);
  world.rpc.decideDelivery = ({ method }) => ({
    lost: method === "report_suspicions",
    delayMs: 1,
  });
  t.equal(await sendEverywhere(world), MOST_CRASHES);
  world.rpc.decideDelivery = () => ({ lost: false, delayMs: 1 });
  await world.timer.advance(10_000);
  for (const { name } of world.vms) {
    await restartNode(world, name);
  }
  t.equal(await sendEverywhere(world), 0);
});

test("a suspect that crashes nothing is cleared for restarted nodes too", async (t) => {
  const world = await startSmallWorld({ seed: 36, servers: SERVERS });
  // It is in flight when a server crashes for another reason.
  for (const { server } of world.vms) {
    server.hangs = true;
  }
  world.call({ via: "vm1", path: "/look/innocent" });
  await world.timer.advance(20);
  const busy = world.vms.find(({ server }) => server.executions.length > 0)!;
  busy.server.crash();
  await world.timer.advance(500);
  for (const { name, node } of world.vms) {
    t.equal(node.guard.status().suspects, 1, `suspected at ${name}`);
  }
  for (const { server } of world.vms) {
    server.hangs = false;
  }
  busy.server.start();
  await world.timer.advance(4_000);
  world.call({ via: "vm2", path: "/look/innocent" });
  await world.timer.advance(3_000);
  for (const { name } of world.vms) {
    await restartNode(world, name);
    const call = world.call({ via: name, path: "/look/innocent" });
    await world.timer.advance(500);
    t.equal(call.reply?.status, 200, name);
    t.equal(world.vm(name).node.guard.status().suspects, 0);
  }
});
