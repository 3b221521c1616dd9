/**
 * Share of recent requests that a backend server failed or refused, counted by
 * its guard, through which all of them pass.
 *
 * Detects a server that fails fast while its health check succeeds. A single
 * ingress sees too few requests to detect this within a second.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Share of recent requests that failed. */
export interface FailureRatio {
  /** Counts a request that has ended. */
  note(failed: boolean): void;
  /** Returns the share, 0 to 1; it decays while no request ends. */
  ratio(): number;
}

const WEIGHT = 0.15;
/**
 * Half-life of the share while no request ends. The share decays so that a
 * server that gets no requests is tried again.
 */
const HALF_LIFE_MS = 700;

/** Creates a ratio of 0. */
export function createFailureRatio(timer: Timer): FailureRatio {
  let value = 0;
  let updatedAt = timer.now();

  function current(): number {
    return value * 0.5 ** ((timer.now() - updatedAt) / HALF_LIFE_MS);
  }

  return {
    note(failed) {
      const previous = failed ? value : current();
      value = previous + WEIGHT * ((failed ? 1 : 0) - previous);
      updatedAt = timer.now();
    },
    ratio: current,
  };
}
