/**
 * What nodes know of an overloaded fleet must not cause refusals once the
 * fleet has capacity again.
 */
import { test } from "tap";
import { runLoad, startBusyWorld } from "./busy_world.ts";

test("a fleet serves all calls again after an overload", async (t) => {
  const world = await startBusyWorld(3);
  await runLoad(world, { multiple: 2, forMs: 1_000 });
  await world.timer.advance(1_500);
  const calls = await runLoad(world, { multiple: 0.5, forMs: 500 });
  await world.timer.advance(2_000);
  const served = calls.filter(({ reply }) => reply?.status === 200).length;
  t.equal(served, calls.length);
});
