/**
 * Lets requests of workspaces pass whose limit over all nodes admits them, and
 * reports how many arrivals at backend servers each has caused.
 * @module
 */
import type { QuotaDecision } from "../quota/admission.ts";
import { notRunReply, type Reply } from "./call.ts";
import type { RoutedCall } from "./routed_call.ts";

/** The quota, as the gate needs it: decides whether a request is admitted. */
export interface QuotaGateOptions {
  admit(
    workspace: string,
    isLate: () => boolean,
  ): Promise<QuotaDecision> | QuotaDecision;
}

/** Runs requests that are admitted. */
export type QuotaGate = (
  routed: RoutedCall,
  run: (routed: RoutedCall) => Promise<Reply>,
) => Promise<Reply>;

function refuse(decision: QuotaDecision & { kind: "refused" }): Reply {
  const { cause, retryAfterMs } = decision;
  const options = { attempts: 0, retryAfterMs };
  return cause === "over_quota"
    ? notRunReply("over_quota", options)
    // Nobody knows whether the workspace is beyond its limit.
    : { ...notRunReply("overloaded", options), reason: "quota_unknown" };
}

/** Returns how many backend servers ran a request, or may have. */
function arrivalsOf({ arrivals, outcome }: Reply): number {
  return arrivals ?? (outcome === "not_run" ? 0 : 1);
}

/**
 * Creates a gate; without a quota, all requests pass. `isLate` says whether a
 * request can no longer meet its latency objective; it is called only for requests
 * of workspaces with a limit.
 */
export function createQuotaGate(
  quota: QuotaGateOptions | undefined,
  isLate: (routed: RoutedCall) => boolean,
): QuotaGate {
  async function runIfAdmitted(
    decision: Promise<QuotaDecision> | QuotaDecision,
    { routed, run }: { routed: RoutedCall; run: Parameters<QuotaGate>[1] },
  ): Promise<Reply> {
    const decided = await decision;
    if (decided.kind === "refused") {
      return refuse(decided);
    }
    let arrivals = 1;
    try {
      const reply = await run(routed);
      arrivals = arrivalsOf(reply);
      return reply;
    } finally {
      decided.settle?.(arrivals);
    }
  }

  return (routed, run) => {
    const decision = quota?.admit(routed.workspace, () => isLate(routed));
    const passesAtOnce = decision === undefined ||
      ("kind" in decision && decision.kind === "admitted" && !decision.settle);
    return passesAtOnce
      ? run(routed)
      : runIfAdmitted(decision, { routed, run });
  };
}
