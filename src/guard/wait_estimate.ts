/**
 * How long a request will probably wait at a guard before it begins.
 *
 * Answers a load near or above what the server can do: a busy server that is
 * fast has a place within milliseconds, while asking guard after guard for a
 * free one costs more than the wait; and what cannot begin in time is refused
 * at once instead of after its wait.
 * @module
 */

/** What a guard knows when a request comes. */
export interface QueueMoment {
  /** Requests that would begin before it. */
  ahead: number;
  /** Requests that run. */
  inFlight: number;
  /** Requests that may run at once. */
  allowed: number;
  /** Time for which a request usually holds its place, in ms; 0 if unknown. */
  placeMs: number;
  /** Time for which a slow spell is expected to hold the request, in ms. */
  holdMs: number;
  /** Time for which a cold server takes nothing more, in ms. */
  pauseMs: number;
  /** Factor on the wait behind others, for what comes later and overtakes. */
  overtakenFactor: number;
}

/** Returns the expected wait in milliseconds; 0 if there is a free place. */
export function expectedWaitMs(moment: QueueMoment): number {
  const { ahead, inFlight, allowed, placeMs, holdMs, pauseMs } = moment;
  const { overtakenFactor } = moment;
  const missing = ahead + 1 - (allowed - inFlight);
  // Places become free one after the other, spread over the usual time. The
  // next one goes to the first, whom hardly anything overtakes.
  const places = missing > 1
    ? 1 + (missing - 1) * overtakenFactor
    : Math.max(0, missing);
  const turnMs = places * placeMs / Math.max(1, allowed);
  return Math.max(turnMs, holdMs, pauseMs);
}
