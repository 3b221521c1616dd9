/**
 * When callers should come back to a node that has no confirmed view yet. After a
 * restart of all machines every request meets such nodes, and callers repeat a
 * request only once or twice: they should not do so before the view is there,
 * nor all at the same time.
 * @module
 */
import type { Random } from "../core/random.ts";
import type { Timer } from "../time/timer.ts";

/**
 * Time from the start of a node to its first view if all machines start
 * together, in milliseconds.
 */
const USUAL_TIME_TO_VIEW_MS = 400;
/** Wait that a node without a view names after that time, as a share of its age. */
const WAIT_PER_AGE = 0.25;
const MIN_RETRY_AFTER_MS = 100;
const MAX_RETRY_AFTER_MS = 1_000;
/** Largest random share that is added, so that callers do not come together. */
const SPREAD = 0.5;

/** Creates the times for callers of a node that starts now, in milliseconds. */
export function createFirstViewRetry(
  { timer, random }: { timer: Timer; random: Random },
): () => number {
  const startedAt = timer.now();

  return () => {
    const ageMs = timer.now() - startedAt;
    const remainingMs = Math.max(
      USUAL_TIME_TO_VIEW_MS - ageMs,
      ageMs * WAIT_PER_AGE,
      MIN_RETRY_AFTER_MS,
    );
    return Math.min(remainingMs, MAX_RETRY_AFTER_MS) *
      (1 + SPREAD * random.fraction());
  };
}
