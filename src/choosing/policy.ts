/**
 * Policies that choose a backend server, and the registry through which they
 * are found by name.
 * @module
 */
import type { Random } from "../core/random.ts";

/** What is known of a backend server at the moment of a choice. */
export interface Candidate {
  /** Name of the backend server. */
  server: string;
  /** Whether it is in the failure domain of the one who chooses. */
  local: boolean;
  /** Requests that the one who chooses has in flight there. */
  own: number;
  /** Requests in flight there as last reported. */
  reported: number;
  /** Requests waiting there as last reported. */
  queued: number;
  /** Requests that it may run at once, as last reported. */
  allowed: number;
  /** Age of the report in milliseconds; infinite if there is none. */
  ageMs: number;
  /** Requests of the one who chooses that were in flight at the report. */
  ownAtReport: number;
  /** Estimate of its latency in milliseconds, failures counting as slow. */
  latencyMs: number;
  /** Time that work takes there, as a multiple of the usual, as estimated. */
  slowness: number;
  /** Recent share of failures, 0 to 1. */
  failures: number;
}

/** What is asked of the chosen one. */
export interface Demand {
  /** Size that the answer usually has, in bytes; 0 if that is unknown. */
  answerBytes: number;
}

/** A demand of which nothing is known. */
export const UNKNOWN_DEMAND: Demand = { answerBytes: 0 };

/** Chooses among candidates. */
export interface Policy {
  /** Returns the chosen one; `candidates` is never empty. */
  choose(
    candidates: readonly Candidate[],
    random: Random,
    demand?: Demand,
  ): Candidate;
}

/** What a policy may depend on; read at each choice, since it may change. */
export interface PolicyOptions {
  /** Age at which a load report counts half, in milliseconds. */
  staleAfterMs: () => number;
}

type PolicyFactory = (options: PolicyOptions) => Policy;

const policies = new Map<string, PolicyFactory>();

/** Makes a policy known under a name. */
export function registerPolicy(name: string, factory: PolicyFactory): void {
  policies.set(name, factory);
}

/** Names of all policies. */
export function policyNames(): string[] {
  return [...policies.keys()];
}

/** Creates a policy by its name. */
export function createPolicy(name: string, options: PolicyOptions): Policy {
  const factory = policies.get(name);
  if (!factory) {
    throw new Error(`unknown policy ${name}`);
  }
  return factory(options);
}
