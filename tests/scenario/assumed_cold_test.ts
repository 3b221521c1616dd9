/**
 * Guards against a restarted guard that takes its server for cold although the
 * server says that it is warm: calls were refused as "cold" for three seconds
 * after each restart of a node.
 */
import { test } from "tap";
import { startSmallWorld } from "./small_world.ts";
import type { CallRecord, World } from "./world.ts";

const COLD_MS = 3_000;
const CALLS = 30;

/** Starts one server that its guard takes for cold, as after a restart. */
function startColdWorld(): Promise<World> {
  return startSmallWorld({
    seed: 1,
    servers: 1,
    coldRatePerS: 5,
    coldMs: COLD_MS,
    queueWaitMs: 50,
  });
}

/** Announces the running server once more, with the time it stays cold. */
async function renew(world: World, coldMs: number): Promise<void> {
  const { node } = world.vm("vm1");
  const announced = node.guard.announced!;
  const sequence = announced.sequence + 1;
  void node.announce({ ...announced, sequence, coldMs });
  await world.timer.advance(20);
}

async function countServed(world: World): Promise<number> {
  const calls: CallRecord[] = [];
  for (let count = 0; count < CALLS; count++) {
    calls.push(world.call({ via: "vm1", path: `/look/${count}` }));
    await world.timer.advance(10);
  }
  await world.timer.advance(1_000);
  return calls.filter(({ reply }) => reply?.status === 200).length;
}

test("a server that says it is warm gets all calls after a restart", async (t) => {
  const world = await startColdWorld();
  await renew(world, 0);
  t.equal(await countServed(world), CALLS);
});

test("a server that has not said so yet gets its cold rate", async (t) => {
  const world = await startColdWorld();
  const served = await countServed(world);
  t.ok(served <= 10, `${served} served`);
});

test("an older statement does not end a cold start that was reported", async (t) => {
  const world = await startColdWorld();
  await renew(world, 2_500);
  await renew(world, 0);
  const served = await countServed(world);
  t.ok(served <= 10, `${served} served`);
});
