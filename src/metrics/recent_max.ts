/**
 * The largest of recent values, kept without the values themselves.
 * @module
 */

/** The largest value of one to two windows of time. */
export interface RecentMax {
  /** Notes a value at a time in milliseconds. */
  note(value: number, now: number): void;
  /** Returns the largest; 0 if there was none. */
  value(now: number): number;
}

/** Creates a maximum that goes back `windowMs` at least, and twice at most. */
export function createRecentMax(windowMs: number): RecentMax {
  let window = 0;
  let present = 0;
  let before = 0;

  function turn(now: number): void {
    const next = Math.floor(now / windowMs);
    if (next === window) {
      return;
    }
    before = next === window + 1 ? present : 0;
    present = 0;
    window = next;
  }

  return {
    note(value, now) {
      turn(now);
      present = Math.max(present, value);
    },
    value(now) {
      turn(now);
      return Math.max(present, before);
    },
  };
}
