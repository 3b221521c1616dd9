/**
 * Warm-up by completions. A cold backend server may run few requests at once.
 * The limit grows with each timely completion, and never with elapsed time
 * alone.
 * @module
 */

import type { Completion, Warmup } from "./warmup.ts";

/** Settings of a ramp. */
export interface RampLimits {
  /** Concurrency limit of a cold server. */
  coldLimit: number;
  /** Concurrency limit of a warm server. */
  slots: number;
  /** Timely completions for each slot until the limit has grown e-fold. */
  completionsPerSlot: number;
  /** Multiple of the usual latency that counts as late. */
  slowFactor: number;
}

/** A warm-up whose concurrency limit grows with timely completions. */
export interface ColdRamp extends Warmup {
  /** Applies new settings. */
  setLimits(limits: RampLimits): void;
}

/** Weights of latencies below and above the usual latency in its average. */
const FASTER_WEIGHT = 0.2;
const SLOWER_WEIGHT = 0.02;
const BAD_COMPLETION_FACTOR = 0.9;
/** Consecutive bad completions after which a warm server counts as cold. */
const BAD_COMPLETIONS_UNTIL_COLD = 8;

/** Creates a ramp that starts cold. */
export function createColdRamp(initial: RampLimits): ColdRamp {
  let limits = initial;
  let limit = limits.coldLimit;
  let warm = false;
  let consecutiveBad = 0;
  let lastBadAt = 0;
  const usualMs = new Map<string, number>();

  function updateUsualLatency(completion: Completion): void {
    const { class: name, latencyMs } = completion;
    const usual = usualMs.get(name) ?? latencyMs;
    const weight = latencyMs < usual ? FASTER_WEIGHT : SLOWER_WEIGHT;
    usualMs.set(name, usual + weight * (latencyMs - usual));
  }

  function isLate(completion: Completion): boolean {
    const usual = usualMs.get(completion.class);
    return usual !== undefined &&
      completion.latencyMs > usual * limits.slowFactor;
  }

  /**
   * Counts consecutive bad completions of requests that did not overlap. A
   * stall of this process or of the server delays all requests in flight at
   * once and does not mean that the server is cold.
   */
  function countBad(completion: Completion, bad: boolean): void {
    const { endedAt, latencyMs } = completion;
    if (!bad) {
      consecutiveBad = 0;
    } else if (consecutiveBad === 0 || endedAt - latencyMs >= lastBadAt) {
      consecutiveBad++;
      lastBadAt = endedAt;
    }
  }

  /**
   * Returns the growth of the limit for one timely completion. It is
   * proportional to the limit, so that the limit grows slowly at first.
   */
  function increment(): number {
    return limit / (limits.slots * limits.completionsPerSlot);
  }

  function reset(): void {
    limit = limits.coldLimit;
    warm = false;
    consecutiveBad = 0;
  }

  return {
    get allowed() {
      return Math.max(1, Math.min(Math.floor(limit), limits.slots));
    },
    get cold() {
      return !warm;
    },
    pauseMs: 0,
    started: () => {},
    noteCold: () => {},
    complete(completion) {
      const bad = !completion.ok || isLate(completion);
      if (completion.ok) {
        updateUsualLatency(completion);
      }
      countBad(completion, bad);
      if (warm) {
        const turnedCold = consecutiveBad >= BAD_COMPLETIONS_UNTIL_COLD;
        if (turnedCold) {
          reset();
        }
        return turnedCold;
      }
      limit = bad
        ? Math.max(limits.coldLimit, limit * BAD_COMPLETION_FACTOR)
        : Math.min(limits.slots, limit + increment());
      warm = limit >= limits.slots;
      return false;
    },
    reset,
    setLimits(next) {
      const atColdLimit = limit === limits.coldLimit;
      limits = next;
      if (warm) {
        limit = next.slots;
      } else if (atColdLimit) {
        limit = next.coldLimit;
      } else {
        limit = Math.min(limit, next.slots);
      }
    },
  };
}
