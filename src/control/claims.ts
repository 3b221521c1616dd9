/**
 * Claims on the idempotency keys of requests that run at most once. The
 * registry is deterministic: the same entries give the same claims on every
 * replica.
 * @module
 */
import type { Claim, ClaimResult, HeldClaim } from "./commands.ts";
import type { Outcome } from "../network/frames.ts";

/** A claim with the log time at which it was made. */
export interface StoredClaim extends HeldClaim {
  /** Log time of the claim in milliseconds. */
  at: number;
}

/** Limits of a claim registry. */
export interface ClaimLimits {
  /** Retention of a claim in milliseconds of log time. */
  keepMs: number;
  /** Maximum number of claims held at a time. */
  maxClaims: number;
}

/** All current claims, oldest first. */
export interface ClaimRegistry {
  /** Number of claims held. */
  readonly size: number;
  /**
   * Claims a key, or returns the claim that holds it. A claim whose attempt did
   * not run is replaced by one for the same request. The result is `full` at
   * the maximum number of claims.
   */
  claim(request: Claim, context: ClaimContext): ClaimResult;
  /**
   * Records the outcome of a claimed attempt. Returns false if the claim is no
   * longer held or already has an outcome.
   */
  settle(key: string, claim: number, outcome: Outcome): boolean;
  /** Returns the claim on a key. */
  get(key: string): StoredClaim | undefined;
  /** Drops claims past their retention. */
  expire(logTime: number, keepMs: number): void;
  /** Returns all claims, for a snapshot. */
  entries(): [string, StoredClaim][];
}

/** The log entry that makes a claim, and the limits that apply to it. */
export interface ClaimContext extends ClaimLimits {
  /** Index of the entry. */
  index: number;
  /** Log time of the entry in milliseconds. */
  logTime: number;
}

/** Creates a registry from the claims of a snapshot. */
export function createClaimRegistry(
  stored: [string, StoredClaim][] = [],
): ClaimRegistry {
  const claims = new Map<string, StoredClaim>(stored);

  function grant(request: Claim, context: ClaimContext): ClaimResult {
    // Deleting the key first keeps the map ordered by the time of claims.
    claims.delete(request.key);
    claims.set(request.key, {
      claim: context.index,
      requestHash: request.requestHash,
      claimant: request.claimant,
      server: request.server,
      address: request.address,
      incarnation: request.incarnation,
      outcome: "unknown",
      at: context.logTime,
    });
    return { kind: "granted", claim: context.index };
  }

  function expire(logTime: number, keepMs: number): void {
    for (const [key, claim] of claims) {
      if (claim.at + keepMs > logTime) {
        break;
      }
      claims.delete(key);
    }
  }

  return {
    get size() {
      return claims.size;
    },
    expire,
    claim(request, context) {
      expire(context.logTime, context.keepMs);
      const current = claims.get(request.key);
      if (!current) {
        return claims.size >= context.maxClaims
          ? { kind: "full" }
          : grant(request, context);
      }
      if (current.claimant === request.claimant) {
        return { kind: "granted", claim: current.claim };
      }
      const sameRequest = current.requestHash === request.requestHash;
      const replaceable = current.claim === request.replaces ||
        current.outcome === "not_run";
      if (sameRequest && replaceable && current.outcome !== "ran") {
        return grant(request, context);
      }
      const { at: _at, ...held } = current;
      return { kind: "held", held };
    },
    settle(key, claim, outcome) {
      const current = claims.get(key);
      if (current?.claim !== claim || current.outcome !== "unknown") {
        return false;
      }
      current.outcome = outcome;
      return true;
    },
    get: (key) => claims.get(key),
    entries: () => [...claims],
  };
}
