/**
 * Determines when a caller whose request was refused should come back: when a
 * slot is probably free, at a time of its own within what callers honour.
 *
 * The load that this answers: many callers are refused at once. If they came
 * back together, they would be refused again together.
 * @module
 */

/** What is known when a request is refused. */
export interface RefusalTiming {
  /** Time after which a slot is probably free, in ms. */
  waitMs: number;
  /** Time that the caller has left, in ms. */
  leftMs: number;
  /** Random number from 0 to 1. */
  fraction: number;
}

/** Share of its remaining time up to which a caller waits as it is told. */
const MAX_SHARE_OF_TIME_LEFT = 1 / 3;
/** Share of that limit from which the times of long waits are spread. */
const MIN_SHARE_OF_LIMIT = 0.5;
/** Time over which callers are spread at least, in ms. */
const MIN_SPREAD_MS = 100;
/** Spread of the times relative to the wait. */
const SPREAD_PER_WAIT = 0.5;

/** Returns the time after which a refused caller should come back, in ms. */
export function retryAfterMs(timing: RefusalTiming): number {
  const { waitMs, leftMs, fraction } = timing;
  const limitMs = Math.max(0, leftMs) * MAX_SHARE_OF_TIME_LEFT;
  const fromMs = Math.min(waitMs, limitMs * MIN_SHARE_OF_LIMIT);
  const spreadMs = Math.max(MIN_SPREAD_MS, waitMs * SPREAD_PER_WAIT);
  const toMs = Math.min(fromMs + spreadMs, limitMs);
  return fromMs + (toMs - fromMs) * fraction;
}
