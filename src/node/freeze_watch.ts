/**
 * Notices that this process did not run for so long that what it knows of
 * others is old.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** A watch for freezes. */
export interface FreezeWatch {
  /** Looks at once, for what must not act on time that went by in a freeze. */
  look(): void;
  /** Ends the watch. */
  cancel(): void;
}

/** Shortest time without running that is noticed for certain, in ms. */
const FREEZE_MS = 2_000;
/** Interval at which the clock is looked at, in milliseconds. */
const LOOK_MS = 250;

/**
 * Calls `onFrozen` after each freeze, with the milliseconds for which the
 * process certainly did not run; it may have been up to `LOOK_MS` more.
 */
export function watchFreezes(
  timer: Timer,
  onFrozen: (ms: number) => void,
): FreezeWatch {
  let lookedAt = timer.now();

  function look(): void {
    const now = timer.now();
    const frozenMs = now - lookedAt - LOOK_MS;
    lookedAt = now;
    // A freeze may begin up to a whole interval after the last look.
    if (frozenMs > FREEZE_MS - LOOK_MS) {
      onFrozen(frozenMs);
    }
  }

  const looking = timer.every(LOOK_MS, look);
  return { look, cancel: looking.cancel };
}
