/**
 * A clock for leases that a holder cannot stop: the monotonic clock of a
 * suspended VM may stand still, so the time by which the wall clock went ahead
 * of it counts as elapsed. A wall clock that is set forward ends leases early.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Returns a function that returns a time in milliseconds, which only grows. */
export function createLeaseClock(timer: Timer): () => number {
  const offset = timer.wallTime() - timer.now();
  let aheadMs = 0;
  return () => {
    const now = timer.now();
    aheadMs = Math.max(aheadMs, timer.wallTime() - now - offset);
    return now + aheadMs;
  };
}
