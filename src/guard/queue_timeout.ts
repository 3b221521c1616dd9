/**
 * How long a request may wait at a guard, and what is too late to begin.
 *
 * Answers a load above what the server can do: waiting until just the usual
 * time is left would start everything at that limit, and whatever takes longer
 * than usual would be late.
 * @module
 */

/** What a request's patience follows from. */
export interface Timing {
  /** Monotonic time by which it must have been answered. */
  deadlineAt: number;
  /** Monotonic time by which an answer is worth most, if there is one. */
  objectiveAt?: number;
  /** Time that such a request usually takes, in milliseconds; 0 if unknown. */
  usualMs?: number;
}

/** Share of the usual time that a request takes at least. */
const LEAST_SHARE = 0.9;
/** Multiple of the usual time that most requests stay below. */
const MOST_SHARE = 1.3;
/** Share of its time that a request waits when it can't be in time any more. */
const LATE_PATIENCE_SHARE = 0.3;
/** The same of what takes little of its time, in milliseconds. */
const BRIEF_PATIENCE_MS = 150;
/** Multiple of its usual time that something brief has left. */
const BRIEF_MULTIPLE = 8;

/** Returns for how long it can wait and still be within its objective, in ms. */
export function inTimeLeftMs(timing: Timing, now: number): number {
  const { objectiveAt = Infinity, usualMs = 0 } = timing;
  return objectiveAt - usualMs * MOST_SHARE - now;
}

/** Whether it would end before its deadline if it began now, in all likelihood. */
export function canEnd(
  { deadlineAt, usualMs = 0 }: Timing,
  now: number,
): boolean {
  return now + usualMs * LEAST_SHARE < deadlineAt;
}

/**
 * Returns the longest wait in ms: for as long as its objective can be met, and
 * for a part of its time beyond that, when it only fills idle places. What takes
 * little of its time waits for longer: it has a place before it would elsewhere.
 */
export function longestWaitMs(timing: Timing, now: number): number {
  const { objectiveAt, deadlineAt, usualMs = 0 } = timing;
  const leftMs = deadlineAt - now;
  const brief = usualMs * BRIEF_MULTIPLE <= leftMs ? BRIEF_PATIENCE_MS : 0;
  const late = Math.max(brief, (leftMs - usualMs) * LATE_PATIENCE_SHARE);
  const patience = objectiveAt === undefined
    ? Infinity
    : Math.max(inTimeLeftMs(timing, now), late);
  const startBy = deadlineAt - usualMs * LEAST_SHARE;
  return Math.min(patience, startBy - now);
}
