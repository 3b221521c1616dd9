/**
 * Claims of idempotency keys, made at the leader of control.
 * @module
 */
import { claimMethod, settleMethod } from "../control/node_methods.ts";
import type { ClaimService } from "../ingress/claim_service.ts";
import type { Timer } from "../time/timer.ts";
import type { ControlClient } from "./control_client.ts";

/** Limit for the record of how a claimed attempt ended, in milliseconds. */
const SETTLE_TIMEOUT_MS = 1_000;

/** Creates the claims of a node. */
export function createClaimClient(
  { client, timer }: { client: ControlClient; timer: Timer },
): ClaimService {
  return {
    async claim(claim, deadlineAt) {
      const result = await client.callLeader(claimMethod, {
        request: { kind: "claim", ...claim },
        deadlineAt,
      });
      return result ?? { kind: "unavailable" };
    },
    settle(settlement) {
      void client.callLeader(settleMethod, {
        request: settlement,
        deadlineAt: timer.now() + SETTLE_TIMEOUT_MS,
      });
    },
  };
}
