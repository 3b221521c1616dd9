/**
 * Detects that this process has just not run for a while: it was stopped, its VM
 * was suspended, or its event loop was blocked. Input that is read shortly after
 * may have been waiting all that time, so its sender may have given up on it.
 * @module
 */
import type { Timer } from "./timer.ts";

/** Watches this process for stalls. */
export interface StallWatch {
  /** Whether input that is read now may have been waiting during a stall. */
  readonly recentlyStalled: boolean;
  /** Stops the periodic check. */
  cancel(): void;
}

const CHECK_INTERVAL_MS = 100;
/** Stalls that are shorter are not detected, in milliseconds. */
const MIN_STALL_MS = 400;
/** Time after a stall until all input of that time has been read, in ms. */
const BACKLOG_MS = 1_000;

/**
 * Creates a watch. Monotonic time stands still while a VM is suspended and the
 * time of day does not, so both are compared; a clock that is set forward counts
 * as a stall.
 */
export function createStallWatch(timer: Timer): StallWatch {
  let checkedAt = timer.now();
  let checkedAtWallTime = timer.wallTime();
  let stalledUntil = -Infinity;

  function check(): void {
    const now = timer.now();
    const wallTime = timer.wallTime();
    const elapsedMs = Math.max(now - checkedAt, wallTime - checkedAtWallTime);
    checkedAt = now;
    checkedAtWallTime = wallTime;
    if (elapsedMs - CHECK_INTERVAL_MS >= MIN_STALL_MS) {
      stalledUntil = now + BACKLOG_MS;
    }
  }

  const subscription = timer.every(CHECK_INTERVAL_MS, check);
  return {
    get recentlyStalled() {
      check();
      return timer.now() < stalledUntil;
    },
    cancel: subscription.cancel,
  };
}
