/**
 * Budgets of extra work: retries, hedges and probes.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** A budget that extra work is paid from. */
export interface Budget {
  /** Pays for one piece of extra work, if the budget allows it. */
  take(): boolean;
}

/** A budget that grows with ordinary work. */
export interface RatioBudget extends Budget {
  /** Counts one piece of ordinary work. */
  deposit(): void;
}

const RATIO_BURST = 10;

/** Creates a budget of `ratio()` pieces of extra work per ordinary one. */
export function createRatioBudget(ratio: () => number): RatioBudget {
  // The reserve is given once the ratio is known, which it is not at a start.
  let tokens: number | undefined;

  function current(): number {
    if (tokens === undefined && ratio() > 0) {
      tokens = RATIO_BURST * Math.min(1, ratio() * RATIO_BURST);
    }
    return tokens ?? 0;
  }

  return {
    deposit() {
      tokens = Math.min(RATIO_BURST, current() + ratio());
    },
    take() {
      if (ratio() === 0 || current() < 1) {
        return false;
      }
      tokens = current() - 1;
      return true;
    },
  };
}

/** Creates a token bucket that fills with time. */
export function createRateBudget(
  timer: Timer,
  perSecond: () => number,
): Budget {
  let tokens = 0;
  let filledAt = timer.now();
  return {
    take() {
      const now = timer.now();
      const rate = perSecond();
      const burst = Math.max(1, rate);
      tokens = Math.min(burst, tokens + (now - filledAt) / 1_000 * rate);
      filledAt = now;
      if (tokens < 1) {
        return false;
      }
      tokens--;
      return true;
    },
  };
}
