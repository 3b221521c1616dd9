/**
 * The maximum of recent values, computed without storing the values.
 * @module
 */

/** The maximum over the current and the previous window of time. */
export interface RecentMax {
  /** Records a value; `now` is a time in milliseconds. */
  record(value: number, now: number): void;
  /** Returns the maximum, or 0 if there is no recent value. */
  value(now: number): number;
}

/** Creates a maximum over at least `windowMs` and at most twice as long. */
export function createRecentMax(windowMs: number): RecentMax {
  let window = 0;
  let currentMax = 0;
  let previousMax = 0;

  function advance(now: number): void {
    const currentWindow = Math.floor(now / windowMs);
    if (currentWindow === window) {
      return;
    }
    previousMax = currentWindow === window + 1 ? currentMax : 0;
    currentMax = 0;
    window = currentWindow;
  }

  return {
    record(value, now) {
      advance(now);
      currentMax = Math.max(currentMax, value);
    },
    value(now) {
      advance(now);
      return Math.max(currentMax, previousMax);
    },
  };
}
