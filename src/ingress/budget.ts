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

/**
 * Creates a budget of `ratio()` pieces of extra work per ordinary one, with at
 * most `burst()` in reserve.
 */
export function createRatioBudget(
  ratio: () => number,
  burst: () => number = () => RATIO_BURST,
): RatioBudget {
  // The reserve is given once the ratio is known, which it is not at a start.
  let tokens: number | undefined;

  function current(): number {
    if (tokens === undefined && ratio() > 0) {
      tokens = burst() * Math.min(1, ratio() * RATIO_BURST);
    }
    return Math.min(burst(), tokens ?? 0);
  }

  return {
    deposit() {
      tokens = Math.min(burst(), current() + ratio());
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

/** What the extra work for one service is paid from. */
export interface ServiceBudget {
  retry: Budget;
  hedge: Budget;
  /** Counts one request. */
  deposit(): void;
}

/** Budgets of all services. */
export interface ServiceBudgets {
  /** Returns the budget of one service. */
  of(service: string): ServiceBudget;
}

/** What the budgets of an ingress depend on. */
export interface BudgetLimits {
  /** Settings, once they are known. */
  retry: {
    budget_ratio: number;
    hedge_budget_ratio: number;
    budget_reserve?: number;
  } | undefined;
  /** Nodes that share the reserve; 0 while that is unknown. */
  fleetSize: number;
}

/** Creates budgets; each node has an equal part of the fleet's reserve. */
export function createServiceBudgets(
  limits: () => BudgetLimits,
): ServiceBudgets {
  const budgets = new Map<string, ServiceBudget>();

  /** This node's part of the reserve; half of it each for both kinds. */
  function reserve(): number {
    const { retry, fleetSize } = limits();
    if (retry?.budget_reserve === undefined) {
      return RATIO_BURST;
    }
    const own = retry.budget_reserve / Math.max(1, fleetSize);
    return Math.max(1, Math.min(RATIO_BURST, own / 2));
  }

  function create(): ServiceBudget {
    const retry = createRatioBudget(
      () => limits().retry?.budget_ratio ?? 0,
      reserve,
    );
    const hedge = createRatioBudget(
      () => limits().retry?.hedge_budget_ratio ?? 0,
      reserve,
    );
    return {
      retry,
      hedge,
      deposit() {
        retry.deposit();
        hedge.deposit();
      },
    };
  }

  return {
    of(service) {
      const budget = budgets.get(service) ?? create();
      budgets.set(service, budget);
      return budget;
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
