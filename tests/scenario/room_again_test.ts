/**
 * What is known of a full fleet must not keep requests away once it has room.
 */
import { test } from "tap";
import { load, startBusyWorld } from "./busy_world.ts";

test("a fleet that was full is used again once it has room", async (t) => {
  const world = await startBusyWorld(3);
  await load(world, { multiple: 2, forMs: 1_000 });
  await world.timer.advance(1_500);
  const calls = await load(world, { multiple: 0.5, forMs: 500 });
  await world.timer.advance(2_000);
  const served = calls.filter(({ reply }) => reply?.status === 200).length;
  t.equal(served, calls.length);
});
