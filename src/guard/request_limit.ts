/**
 * The request rate that a backend server in need names in its answers. While it
 * names one, its guard starts no more requests than that: it is the only way to
 * the server, so its count holds for all senders together.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Limit on the rate at which requests start; none until the server names one. */
export interface RequestLimit {
  /** Time until one more request may start, in milliseconds. */
  readonly pauseMs: number;
  /** Time between two starts at the named rate, in milliseconds; 0 for none. */
  readonly intervalMs: number;
  /** Counts the start of a request. */
  started(): void;
  /**
   * Applies an answer to a request that was sent at `sentAt`. `perSecond` is the
   * rate that the answer names, or `undefined` if it names none.
   */
  noteAnswer(perSecond: number | undefined, sentAt: number): void;
  /** Forgets the limit, since another run of the server has begun. */
  reset(): void;
}

const MS_PER_SECOND = 1_000;
/**
 * Lowest rate that is kept, in requests a second: a server that takes none for
 * now gets a few requests, whose answers tell when it takes more.
 */
const MIN_PER_SECOND = 0.2;
/** Time by which requests may start early, so that a short burst need not wait. */
const BURST_MS = 250;

/** Creates a limit for a server that has not named one. */
export function createRequestLimit(timer: Timer): RequestLimit {
  let intervalMs = 0;
  /** Monotonic time at which the next request is due at an even rate. */
  let dueAt = -Infinity;
  /** Monotonic time of the last answer that named a rate. */
  let namedAt = -Infinity;

  function pauseMs(): number {
    return intervalMs === 0 ? 0 : Math.max(0, dueAt - BURST_MS - timer.now());
  }

  return {
    get pauseMs() {
      return pauseMs();
    },
    get intervalMs() {
      return intervalMs;
    },
    started() {
      dueAt = Math.max(dueAt, timer.now()) + intervalMs;
    },
    noteAnswer(perSecond, sentAt) {
      if (perSecond !== undefined) {
        intervalMs = MS_PER_SECOND / Math.max(MIN_PER_SECOND, perSecond);
        namedAt = timer.now();
      } else if (sentAt >= namedAt) {
        // An earlier request's answer may only have overtaken the naming.
        intervalMs = 0;
      }
    },
    reset() {
      intervalMs = 0;
      dueAt = -Infinity;
      namedAt = -Infinity;
    },
  };
}
