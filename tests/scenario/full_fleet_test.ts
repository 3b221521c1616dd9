/**
 * A call that was refused took four attempts, most of which only found again
 * that all servers were busy (issue 17).
 */
import { test } from "tap";
import { findInvariantViolations } from "./checks.ts";
import { CAPACITY_PER_MS, runLoad, startBusyWorld } from "./busy_world.ts";

/** The first attempt and one more. */
const MAX_ATTEMPTS = 2;

test("a full fleet refuses a call after at most two attempts", async (t) => {
  for (const seed of [1, 2]) {
    const world = await startBusyWorld(seed);
    await runLoad(world, { multiple: 2, forMs: 1_000 });
    const calls = await runLoad(world, { multiple: 2, forMs: 1_000 });
    await world.timer.advance(2_000);
    const refused = calls.filter(({ reply }) => reply?.outcome === "not_run");
    const overLimit = refused.filter(({ reply }) =>
      reply!.attempts > MAX_ATTEMPTS
    );
    t.ok(refused.length > 100, `seed ${seed}: ${refused.length} refused`);
    t.equal(
      overLimit.length,
      0,
      `${overLimit.length} of ${refused.length} took more attempts`,
    );
    const served = calls.filter(({ reply }) => reply?.status === 200).length;
    t.ok(served > 0.8 * CAPACITY_PER_MS * 1_000, `${served} served`);
    t.same(findInvariantViolations(world), []);
  }
});
