/**
 * How much of its time a request had used before it came here.
 *
 * Answers callers that come again after a refusal or a failure: their objective
 * counts from their first try, so that most of them can't be in time any more,
 * and must not take places from those that can. What they tell is the time that
 * they have left; what they had at first is what callers of the kind usually
 * tell. Times that are left over differ, first ones are the same ones again and
 * again.
 * @module
 */

/** Learns the times that callers have at first. */
export interface SpentTime {
  /** Returns the time in ms that a caller with so much left had used before. */
  before(className: string, leftMs: number): number;
}

interface Seen {
  counts: Map<number, number>;
  total: number;
}

/** Share of the requests of a kind that makes a time a usual one. */
const USUAL_SHARE = 0.05;
/** Requests of a kind from which something is known. */
const MIN_SEEN = 40;
/** Requests after which older ones count half. */
const MAX_SEEN = 400;
const MAX_CLASSES = 1_000;

function halve(seen: Seen): void {
  seen.total = 0;
  for (const [ms, count] of [...seen.counts]) {
    const left = Math.floor(count / 2);
    seen.total += left;
    if (left === 0) {
      seen.counts.delete(ms);
    } else {
      seen.counts.set(ms, left);
    }
  }
}

/** Creates it with nothing known; until then nothing counts as used. */
export function createSpentTime(): SpentTime {
  const classes = new Map<string, Seen>();

  function note(className: string, ms: number): Seen | undefined {
    const seen = classes.get(className) ?? { counts: new Map(), total: 0 };
    if (!classes.has(className) && classes.size >= MAX_CLASSES) {
      return undefined;
    }
    classes.set(className, seen);
    seen.counts.set(ms, (seen.counts.get(ms) ?? 0) + 1);
    seen.total++;
    if (seen.total >= MAX_SEEN) {
      halve(seen);
    }
    return seen;
  }

  return {
    before(className, leftMs) {
      const ms = Math.round(leftMs);
      const seen = note(className, ms);
      if (!seen || seen.total < MIN_SEEN) {
        return 0;
      }
      const least = seen.total * USUAL_SHARE;
      let spent = Infinity;
      for (const [usual, count] of seen.counts) {
        if (count >= least && usual >= ms) {
          spent = Math.min(spent, usual - ms);
        }
      }
      return Number.isFinite(spent) ? spent : 0;
    },
  };
}
