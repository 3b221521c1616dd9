/**
 * Estimates how much of its timeout a request had spent before it arrived.
 *
 * When a caller retries after a refusal or a failure, its latency objective
 * counts from the first try. Most retries can no longer meet the objective, and
 * must not take capacity from requests that can. A retry declares only the
 * remaining time. The initial timeout is estimated from the timeouts that are
 * frequent in the request class: initial timeouts have few distinct values,
 * while remaining times vary. Where no timeout is frequent, callers choose
 * different ones, and only a timeout well below the usual range is taken for a
 * remaining time.
 * @module
 */

/** Estimates spent time from the timeouts that callers declare. */
export interface SpentTime {
  /**
   * Records a declared timeout, and returns the time spent before; 0 while it
   * is unknown.
   */
  spentMs(className: string, leftMs: number): number;
}

/** Numbers of requests of a class by declared timeout in ms. */
interface TimeoutCounts {
  counts: Map<number, number>;
  total: number;
  /** What the counts showed at the last look at all of them. */
  summary: TimeoutSummary;
  /** Requests since then. */
  unsummarized: number;
}

/** Initial timeouts of a class, as far as they are known. */
interface TimeoutSummary {
  /** Timeouts that are frequent. */
  usual: readonly number[];
  /** Upper end of the range of timeouts, if none is frequent. */
  top: number;
}

/** Share of the requests of a class from which a timeout counts as initial. */
const MIN_USUAL_SHARE = 0.05;
/** Requests of a class that are needed for an estimate. */
const MIN_REQUESTS = 40;
/** Requests of a class after which the counts are halved. */
const HALVE_AT_REQUESTS = 400;
const MAX_CLASSES = 1_000;
/** Requests with the same timeout from which it can be a frequent one. */
const MIN_EQUAL_TIMEOUTS = 4;
/** Requests of a class without frequent timeouts that are needed for a range. */
const MIN_RANGE_REQUESTS = 8;
/** Quantile of the timeouts that counts as the upper end of their range. */
const RANGE_TOP_QUANTILE = 0.9;
/** Lower end of the range of initial timeouts, relative to its upper end. */
const RANGE_BOTTOM_SHARE = 0.8;

function halve(observed: TimeoutCounts): void {
  observed.total = 0;
  for (const [ms, count] of [...observed.counts]) {
    const remaining = Math.floor(count / 2);
    observed.total += remaining;
    if (remaining === 0) {
      observed.counts.delete(ms);
    } else {
      observed.counts.set(ms, remaining);
    }
  }
}

/** Returns the upper end of the range of the timeouts. */
function topOf({ counts, total }: TimeoutCounts): number {
  let above = total * (1 - RANGE_TOP_QUANTILE);
  const descending = [...counts].sort(([one], [other]) => other - one);
  for (const [ms, count] of descending) {
    above -= count;
    if (above < 0) {
      return ms;
    }
  }
  return 0;
}

/** Returns the timeouts that are frequent enough to be initial ones. */
function usualTimeouts({ counts, total }: TimeoutCounts): number[] {
  const minCount = Math.max(MIN_EQUAL_TIMEOUTS, total * MIN_USUAL_SHARE);
  return [...counts].filter(([, count]) => count >= minCount)
    .map(([ms]) => ms);
}

/** Part of the requests of a class after which all counts are looked at again. */
const SUMMARY_PART = 1 / 8;

/** Returns what the counts show; looks at all of them after a few requests only. */
function summarize(observed: TimeoutCounts): TimeoutSummary {
  if (observed.unsummarized > observed.total * SUMMARY_PART) {
    observed.unsummarized = 0;
    const usual = usualTimeouts(observed);
    observed.summary = { usual, top: usual.length > 0 ? 0 : topOf(observed) };
  }
  return observed.summary;
}

/** Creates an estimator; it returns 0 until enough requests are recorded. */
export function createSpentTime(): SpentTime {
  const classes = new Map<string, TimeoutCounts>();

  function record(className: string, ms: number): TimeoutCounts | undefined {
    const observed = classes.get(className) ?? {
      counts: new Map(),
      total: 0,
      summary: { usual: [], top: 0 },
      unsummarized: 0,
    };
    if (!classes.has(className) && classes.size >= MAX_CLASSES) {
      return undefined;
    }
    classes.set(className, observed);
    observed.counts.set(ms, (observed.counts.get(ms) ?? 0) + 1);
    observed.total++;
    observed.unsummarized++;
    if (observed.total >= HALVE_AT_REQUESTS) {
      halve(observed);
    }
    return observed;
  }

  return {
    spentMs(className, leftMs) {
      const ms = Math.round(leftMs);
      const observed = record(className, ms);
      if (!observed) {
        return 0;
      }
      const { usual, top } = summarize(observed);
      if (usual.length === 0) {
        return observed.total < MIN_RANGE_REQUESTS
          ? 0
          : Math.max(0, RANGE_BOTTOM_SHARE * top - ms);
      }
      const nearest = Math.min(...usual.filter((one) => one >= ms));
      return Number.isFinite(nearest) && observed.total >= MIN_REQUESTS
        ? nearest - ms
        : 0;
    },
  };
}
