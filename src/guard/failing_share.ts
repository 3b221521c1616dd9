/**
 * Share of recent requests that a backend server failed or turned away, as its
 * guard sees them all.
 *
 * Answers servers that fail fast while their health check is good: each ingress
 * alone sees too few requests to tell within a second.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Share of recent requests that failed. */
export interface FailingShare {
  /** Counts how a request ended. */
  note(failed: boolean): void;
  /** Returns the share, 0 to 1; it fades while nothing is noted. */
  share(): number;
}

const WEIGHT = 0.15;
/** Time in which the share halves, so that the server is tried again. */
const HALF_LIFE_MS = 700;

/** Creates a share of 0. */
export function createFailingShare(timer: Timer): FailingShare {
  let value = 0;
  let at = timer.now();

  function current(): number {
    return value * 0.5 ** ((timer.now() - at) / HALF_LIFE_MS);
  }

  return {
    note(failed) {
      const share = failed ? value : current();
      value = share + WEIGHT * ((failed ? 1 : 0) - share);
      at = timer.now();
    },
    share: current,
  };
}
