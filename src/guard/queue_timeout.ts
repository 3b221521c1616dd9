/**
 * Computes how long a request may wait at a guard, and whether it can still
 * meet its deadline.
 *
 * Under overload, if requests waited until only their usual time was left, all
 * of them would start at that limit, and each that takes longer than usual
 * would be late.
 * @module
 */

/** Times from which the longest wait of a request is computed. */
export interface RequestTiming {
  /** Monotonic time by which the request must have been answered. */
  deadlineAt: number;
  /** Monotonic time of the latency objective, if there is one. */
  objectiveAt?: number;
  /** Time that such a request usually takes, in milliseconds; 0 if unknown. */
  usualMs?: number;
}

/** Multiple of the usual time that a request takes at least. */
const MIN_LATENCY_FACTOR = 0.9;
/** Multiple of the usual time within which most requests end. */
const MAX_LATENCY_FACTOR = 1.3;
/** Share of its spare time for which a request waits past its objective. */
const LATE_WAIT_SHARE = 0.3;
/** Least wait of a short request past its objective, in milliseconds. */
const SHORT_REQUEST_WAIT_MS = 150;
/** A request is short if this multiple of its usual time is left for it. */
const SHORT_REQUEST_FACTOR = 8;

/** Returns for how long a request can wait and meet its objective, in ms. */
export function objectiveSlackMs(timing: RequestTiming, now: number): number {
  const { objectiveAt = Infinity, usualMs = 0 } = timing;
  return objectiveAt - usualMs * MAX_LATENCY_FACTOR - now;
}

/** Whether a request that starts now can probably end before its deadline. */
export function canMeetDeadline(
  { deadlineAt, usualMs = 0 }: RequestTiming,
  now: number,
): boolean {
  return now + usualMs * MIN_LATENCY_FACTOR < deadlineAt;
}

/**
 * Returns the longest wait of a request in ms. A request waits for as long as
 * it can meet its objective. One that can't waits for a part of the time until
 * its deadline, and only gets a slot that would otherwise be idle. A request
 * that is short compared with that time waits for longer, because it gets a
 * slot here sooner than at another guard.
 */
export function maxWaitMs(timing: RequestTiming, now: number): number {
  const { objectiveAt, deadlineAt, usualMs = 0 } = timing;
  const remainingMs = deadlineAt - now;
  const shortWaitMs = usualMs * SHORT_REQUEST_FACTOR <= remainingMs
    ? SHORT_REQUEST_WAIT_MS
    : 0;
  const lateWaitMs = Math.max(
    shortWaitMs,
    (remainingMs - usualMs) * LATE_WAIT_SHARE,
  );
  const objectiveWaitMs = objectiveAt === undefined
    ? Infinity
    : Math.max(objectiveSlackMs(timing, now), lateWaitMs);
  const latestStartAt = deadlineAt - usualMs * MIN_LATENCY_FACTOR;
  return Math.min(objectiveWaitMs, latestStartAt - now);
}
