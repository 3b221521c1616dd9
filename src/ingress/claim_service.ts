/**
 * Claims of idempotency keys, as an ingress makes them.
 * @module
 */
import type { Claim, ClaimResult } from "../control/commands.ts";
import type { Outcome } from "../network/frames.ts";

/** Commits claims through control's quorum. */
export interface ClaimService {
  /**
   * Claims a key. If the result is `unavailable`, no quorum answered in time,
   * and the request must not be dispatched.
   */
  claim(
    claim: Omit<Claim, "kind">,
    deadlineAt: number,
  ): Promise<ClaimResult | { kind: "unavailable" }>;
  /** Records how a claimed attempt ended, without awaiting the commit. */
  settle(settlement: Settlement): void;
}

/** How a claimed attempt ended. */
export interface Settlement {
  key: string;
  claim: number;
  outcome: Outcome;
}
