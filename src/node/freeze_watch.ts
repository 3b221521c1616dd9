/**
 * Detects freezes of this process: stalls of seconds, after which its view of
 * other processes is out of date.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Detects freezes of this process. */
export interface FreezeWatch {
  /**
   * Checks for a freeze immediately. Called before a decision that must not
   * count the time of a freeze.
   */
  check(): void;
  /** Stops the periodic check. */
  cancel(): void;
}

/** Shortest freeze that is always detected, in milliseconds. */
const MIN_FREEZE_MS = 2_000;
const CHECK_INTERVAL_MS = 250;

/**
 * Calls `onFrozen` after each freeze with its minimum length in milliseconds.
 * The freeze may have lasted up to `CHECK_INTERVAL_MS` longer.
 */
export function watchFreezes(
  timer: Timer,
  onFrozen: (ms: number) => void,
): FreezeWatch {
  let lastCheckAt = timer.now();

  function check(): void {
    const now = timer.now();
    const frozenMs = now - lastCheckAt - CHECK_INTERVAL_MS;
    lastCheckAt = now;
    // A freeze may begin up to a whole interval before a check is due, so its
    // measured length may be short by that much.
    if (frozenMs > MIN_FREEZE_MS - CHECK_INTERVAL_MS) {
      onFrozen(frozenMs);
    }
  }

  const subscription = timer.every(CHECK_INTERVAL_MS, check);
  return { check, cancel: subscription.cancel };
}
