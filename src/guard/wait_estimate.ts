/**
 * Estimates how long a request will wait at a guard before it starts.
 *
 * Near or above capacity, a busy but fast server has a free slot within
 * milliseconds, while asking one guard after another costs more time than that
 * wait. A request that cannot start in time is refused at once instead of after
 * its wait.
 * @module
 */

/** State of the guard at the arrival of a request. */
export interface QueueState {
  /** Number of waiting requests that would start before the new one. */
  ahead: number;
  /** Number of requests that run. */
  inFlight: number;
  /** Number of requests that may run at once. */
  allowed: number;
  /** Average time for which a request holds its slot, in ms; 0 if unknown. */
  slotTimeMs: number;
  /** Time for which a latency spike holds the new request back, in ms. */
  holdMs: number;
  /** Time until a cold or limited server may start another request, in ms. */
  pauseMs: number;
  /** Time between two starts while the server limits its rate, in ms. */
  startIntervalMs: number;
  /** Factor on the wait behind others, for later requests that overtake it. */
  overtakenFactor: number;
}

/** Returns the expected wait in ms; 0 if the request can start now. */
export function expectedWaitMs(state: QueueState): number {
  const { ahead, inFlight, allowed, slotTimeMs, holdMs, pauseMs } = state;
  const { overtakenFactor, startIntervalMs } = state;
  const missingSlots = ahead + 1 - (allowed - inFlight);
  // Slots become free one after the other, spread evenly over the average time
  // for which they are held. The factor leaves out the first of them, because
  // the first request in the queue is rarely overtaken.
  const slotsAwaited = missingSlots > 1
    ? 1 + (missingSlots - 1) * overtakenFactor
    : Math.max(0, missingSlots);
  const queueMs = slotsAwaited * slotTimeMs / Math.max(1, allowed);
  const rateMs = pauseMs + ahead * startIntervalMs;
  return Math.max(queueMs, holdMs, rateMs);
}
