/**
 * The interface of policies that choose a backend server, and the registry that
 * finds them by name.
 * @module
 */
import type { Random } from "../core/random.ts";

/** State of a backend server as the choosing ingress knows it. */
export interface Candidate {
  server: string;
  /** Whether the server is in the failure domain of the choosing ingress. */
  sameDomain: boolean;
  /** Requests that the choosing ingress has in flight at the server. */
  ownInFlight: number;
  /** Requests in flight at the server as last reported. */
  reportedInFlight: number;
  /** Requests queued at the server as last reported. */
  queued: number;
  /** Concurrency limit of the server as last reported. */
  allowed: number;
  /** Age of the last report; infinite if there is none. */
  reportAgeMs: number;
  /** Value of `ownInFlight` at the time of the report. */
  ownInFlightAtReport: number;
  /** Estimated latency, in which a failure counts as a slow answer. */
  latencyMs: number;
  /** Estimated processing time at the server, relative to the usual one. */
  slowness: number;
  /** Recent share of attempts that failed, 0 to 1. */
  failureRate: number;
}

/** Expected cost of the request for which a server is chosen. */
export interface Demand {
  /** Average size of answers to such requests; 0 if it is unknown. */
  answerBytes: number;
}

/** Demand of a request whose answer size is unknown. */
export const UNKNOWN_DEMAND: Demand = { answerBytes: 0 };

/** Chooses one of several backend servers. */
export interface Policy {
  /** Returns the chosen candidate; `candidates` must not be empty. */
  choose(
    candidates: readonly Candidate[],
    random: Random,
    demand?: Demand,
  ): Candidate;
}

/** Settings of a policy; they may change, so they are read for each choice. */
export interface PolicyOptions {
  /** Returns the age at which the weight of a load report is halved. */
  staleAfterMs: () => number;
}

type PolicyFactory = (options: PolicyOptions) => Policy;

const policies = new Map<string, PolicyFactory>();

/** Registers a policy under a name. */
export function registerPolicy(name: string, factory: PolicyFactory): void {
  policies.set(name, factory);
}

/** Returns the names of all registered policies. */
export function policyNames(): string[] {
  return [...policies.keys()];
}

/** Creates the policy with a name. Throws if there is none. */
export function createPolicy(name: string, options: PolicyOptions): Policy {
  const factory = policies.get(name);
  if (!factory) {
    throw new Error(`unknown policy ${name}`);
  }
  return factory(options);
}
