/**
 * Guards against an overload in which each call beyond the fleet's capacity asks
 * guards before it is refused: the exchanges took the nodes' processor time, and
 * a burst of 1.4 times the usual load earned a fifth of its worth (issue 32).
 */
import { test } from "tap";
import { CAPACITY_PER_MS, runLoad, startBusyWorld } from "./busy_world.ts";
import { findInvariantViolations } from "./checks.ts";

const OVERLOAD = 4;

test("in an overload, few calls ask guards in vain", async (t) => {
  for (const seed of [1, 2]) {
    const world = await startBusyWorld(seed);
    await runLoad(world, { multiple: OVERLOAD, forMs: 1_000 });
    const calls = await runLoad(world, { multiple: OVERLOAD, forMs: 2_000 });
    await world.timer.advance(2_000);
    const served = calls.filter(({ reply }) => reply?.status === 200).length;
    const inVain = calls.filter(({ reply }) =>
      reply?.outcome === "not_run" && reply.attempts > 0
    ).length;
    t.ok(
      served > 0.8 * CAPACITY_PER_MS * 2_000,
      `seed ${seed}: ${served} of ${calls.length} calls served`,
    );
    t.ok(inVain < 0.5 * served, `${inVain} refused by guards`);
    t.same(findInvariantViolations(world), []);
  }
});
