/**
 * How much work a backend server is trusted with: little while it is cold, and
 * more with each completion in good time. The clock earns it nothing.
 * @module
 */

import type { Completion, Warmup } from "./warmup.ts";

/** Limits of a ramp. */
export interface RampLimits {
  /** Requests at once when cold. */
  coldLimit: number;
  /** Requests at once when warm. */
  slots: number;
  /** Timely completions for each slot until trust has grown e-fold. */
  completionsPerSlot: number;
  /** Multiple of the usual latency that counts as late. */
  slowFactor: number;
}

/** Trust that is earned by completions. */
export interface ColdRamp extends Warmup {
  /** Takes new limits over. */
  setLimits(limits: RampLimits): void;
}

const FASTER_WEIGHT = 0.2;
const SLOWER_WEIGHT = 0.02;
const LATE_SHRINK = 0.9;
/** Bad completions one after another that mean a server has turned cold. */
const BAD_RUN = 8;

/** Creates a ramp that starts cold. */
export function createColdRamp(initial: RampLimits): ColdRamp {
  let limits = initial;
  let earned = limits.coldLimit;
  let warm = false;
  let badRun = 0;
  let lastBadAt = 0;
  const usualMs = new Map<string, number>();

  function learn(completion: Completion): void {
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
   * Counts bad completions that ran one after another. A pause, here or there,
   * delays all that is in flight at once, and says nothing about warmth.
   */
  function countBad(completion: Completion, bad: boolean): void {
    const { endedAt, latencyMs } = completion;
    if (!bad) {
      badRun = 0;
    } else if (badRun === 0 || endedAt - latencyMs >= lastBadAt) {
      badRun++;
      lastBadAt = endedAt;
    }
  }

  /** Trust grows in proportion to itself, so slowly at first. */
  function growth(): number {
    return earned / (limits.slots * limits.completionsPerSlot);
  }

  function reset(): void {
    earned = limits.coldLimit;
    warm = false;
    badRun = 0;
  }

  return {
    get allowed() {
      return Math.max(1, Math.min(Math.floor(earned), limits.slots));
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
        learn(completion);
      }
      countBad(completion, bad);
      if (warm) {
        const turnedCold = badRun >= BAD_RUN;
        if (turnedCold) {
          reset();
        }
        return turnedCold;
      }
      earned = bad
        ? Math.max(limits.coldLimit, earned * LATE_SHRINK)
        : Math.min(limits.slots, earned + growth());
      warm = earned >= limits.slots;
      return false;
    },
    reset,
    setLimits(next) {
      const untouched = earned === limits.coldLimit;
      limits = next;
      if (warm) {
        earned = next.slots;
      } else if (untouched) {
        earned = next.coldLimit;
      } else {
        earned = Math.min(earned, next.slots);
      }
    },
  };
}
