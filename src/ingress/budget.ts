/**
 * Budgets that limit retries, hedges and probes.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** A budget of tokens, each of which allows one retry, hedge or probe. */
export interface Budget {
  /** Takes one token, and returns whether there was one. */
  take(): boolean;
}

/** A budget that grows with the number of requests. */
export interface RatioBudget extends Budget {
  /** Adds the tokens earned by one request. */
  deposit(): void;
}

/** Largest number of tokens that a ratio budget saves up. */
const MAX_BURST = 10;

/**
 * Creates a budget that earns `ratio()` tokens per request and saves up at most
 * `burst()` tokens.
 */
export function createRatioBudget(
  ratio: () => number,
  burst: () => number = () => MAX_BURST,
): RatioBudget {
  // The initial tokens depend on the ratio, which is not known at startup.
  let tokens: number | undefined;

  function currentTokens(): number {
    if (tokens === undefined && ratio() > 0) {
      tokens = burst() * Math.min(1, ratio() * MAX_BURST);
    }
    return Math.min(burst(), tokens ?? 0);
  }

  return {
    deposit() {
      tokens = Math.min(burst(), currentTokens() + ratio());
    },
    take() {
      if (ratio() === 0 || currentTokens() < 1) {
        return false;
      }
      tokens = currentTokens() - 1;
      return true;
    },
  };
}

/** Budgets of one service. */
export interface ServiceBudget {
  retry: Budget;
  hedge: Budget;
  /** Adds the tokens earned by one request to both budgets. */
  deposit(): void;
}

/** Budgets of all services. */
export interface ServiceBudgets {
  /** Returns the budget of one service. */
  of(service: string): ServiceBudget;
}

/** Settings and fleet size from which the budgets are computed. */
export interface BudgetLimits {
  /** Retry settings; undefined until they are known. */
  retry: {
    budget_ratio: number;
    hedge_budget_ratio: number;
    budget_reserve?: number;
  } | undefined;
  /** Number of nodes that share the reserve; 0 while it is unknown. */
  fleetSize: number;
}

/** Creates budgets in which each node has an equal share of the reserve. */
export function createServiceBudgets(
  limits: () => BudgetLimits,
): ServiceBudgets {
  const budgets = new Map<string, ServiceBudget>();

  /** Returns the reserve of one budget: half of this node's share. */
  function reserve(): number {
    const { retry, fleetSize } = limits();
    if (retry?.budget_reserve === undefined) {
      return MAX_BURST;
    }
    const ownShare = retry.budget_reserve / Math.max(1, fleetSize);
    return Math.max(1, Math.min(MAX_BURST, ownShare / 2));
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

/** Creates a token bucket that is refilled at `perSecond()`. */
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
