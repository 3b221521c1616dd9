/**
 * The decision of an ingress about a request of a workspace with a limit: it
 * asks the owner, then the deputy, and decides itself if neither answers. While
 * the owner has said that the workspace is used up, it refuses without asking.
 *
 * The load that this answers: each node sees a request of most workspaces once in
 * several seconds, so that tokens taken in advance would be lost; and at times
 * one workspace sends several times its limit.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { createAskBatches, type Unreported } from "./ask_batches.ts";
import { isLimited, type WorkspaceLimit } from "./bounds.ts";
import type { CutOffAllowance } from "./cut_off.ts";
import type { QuotaAsk, QuotaGrants } from "./messages.ts";
import type { Ownership, QuotaMember } from "./ownership.ts";

/** Why a request is refused. */
export type QuotaRefusalCause = "over_quota" | "no_owner";

/** Decision about a request. */
export type QuotaDecision =
  | {
    kind: "admitted";
    /**
     * To be called with the number of arrivals at backend servers that ran the
     * request, once it has ended.
     */
    settle?: (arrivals: number) => void;
  }
  | { kind: "refused"; cause: QuotaRefusalCause; retryAfterMs: number };

/** Decides about the requests that come to this node. */
export interface QuotaAdmission {
  /**
   * Decides about a request. One that can no longer meet its latency objective is
   * admitted only while the workspace is well below its limit; `isLate` says so,
   * and is called only if the owner is to be asked.
   */
  admit(
    workspace: string,
    isLate?: () => boolean,
  ): Promise<QuotaDecision> | QuotaDecision;
  /** Stops the timer of reports. */
  close(): void;
}

/** Options of {@link createQuotaAdmission}. */
export interface QuotaAdmissionOptions {
  vm: string;
  domain: string;
  timer: Timer;
  randomFraction: () => number;
  ownership: Ownership;
  limitOf: (workspace: string) => WorkspaceLimit | undefined;
  cutOff: CutOffAllowance;
  /** Prepares the members; returns a promise if they are not known yet. */
  prepare: () => Promise<void> | undefined;
  /** Whether a node did not answer a moment ago. */
  isSilent: (address: string) => boolean;
  /** Sends asks to a node; resolves with undefined if it does not decide. */
  send: (
    target: QuotaMember,
    asks: QuotaAsk[],
  ) => Promise<QuotaGrants | undefined>;
  /** Called with the decision about each request. */
  onDecision: (
    decision: QuotaDecision,
    made: { workspace: string; by: DecisionSource },
  ) => void;
}

/** Who can decide about a request. */
export const DECISION_SOURCES = [
  "owner",
  "deputy",
  "closed",
  "cut_off",
] as const;
/** Who decided about a request. */
export type DecisionSource = (typeof DECISION_SOURCES)[number];

const ADMITTED: QuotaDecision = { kind: "admitted" };
/** Time after which use is reported if no ask takes it along. */
const REPORT_AFTER_MS = 200;
/** Time after which a request comes back that found no owner. */
const NO_OWNER_RETRY_AFTER_MS = 700;
/** Largest random share that is added to a retry-after time. */
const RETRY_AFTER_JITTER = 0.5;
/** Largest number of workspaces that are refused without asking. */
const MAX_CLOSED = 10_000;

interface Closed {
  until: number;
  /** Time at which a refused request has a chance. */
  retryAt: number;
  ratePerS: number;
  burst: number;
}

/** Creates the admission of a node. */
export function createQuotaAdmission(
  options: QuotaAdmissionOptions,
): QuotaAdmission {
  const { vm, domain, timer, ownership, limitOf, cutOff } = options;
  const { randomFraction, onDecision, isSilent } = options;
  const closed = new Map<string, Closed>();
  const unreported = new Map<string, Unreported>();
  let reportTimer: { cancel(): void } | undefined;
  let stopped = false;

  const targets = new Map<string, QuotaMember>();
  const batches = createAskBatches({
    send: (target, asks) => options.send(targets.get(target)!, asks),
    takeUnreported(workspace) {
      const taken = unreported.get(workspace) ?? { use: 0, refused: 0 };
      unreported.delete(workspace);
      return taken;
    },
    putBack: (workspace, { use, refused }) => {
      if (use !== 0) {
        addUnreported(workspace, { use, refused });
        scheduleReport();
      }
    },
  });

  function addUnreported(workspace: string, more: Unreported): void {
    const known = unreported.get(workspace);
    unreported.set(workspace, {
      use: (known?.use ?? 0) + more.use,
      refused: (known?.refused ?? 0) + more.refused,
    });
  }

  function scheduleReport(): void {
    if (!stopped) {
      reportTimer ??= timer.after(REPORT_AFTER_MS, reportUse);
    }
  }

  function withJitter(ms: number): number {
    return ms * (1 + RETRY_AFTER_JITTER * randomFraction());
  }

  /** Reports the use that no ask has taken along. */
  function reportUse(): void {
    reportTimer = undefined;
    for (const [workspace, { use }] of [...unreported]) {
      const limit = limitOf(workspace);
      const owner = ownership.ownerOf(workspace);
      if (use === 0 || !isLimited(limit) || !owner) {
        unreported.delete(workspace);
      } else if (!isSilent(owner.address)) {
        targets.set(owner.server, owner);
        batches.report(owner.server, { workspace, limit });
      } else if (use > 0) {
        scheduleReport();
      } else {
        unreported.delete(workspace);
      }
    }
  }

  function settle(workspace: string, arrivals: number): void {
    if (arrivals === 1) {
      return;
    }
    addUnreported(workspace, { use: arrivals - 1, refused: 0 });
    scheduleReport();
  }

  function refuse(
    cause: QuotaRefusalCause,
    retryAfterMs: number,
  ): QuotaDecision {
    return { kind: "refused", cause, retryAfterMs: withJitter(retryAfterMs) };
  }

  /** Returns the nodes to ask: the owner and the deputy, unless silent. */
  function targetsOf(workspace: string): [QuotaMember, DecisionSource][] {
    const owner = ownership.ownerOf(workspace);
    if (!owner) {
      return [];
    }
    const group = ownership.groupOf({ server: vm, domain });
    const deputy = ownership.deputyOf(owner.server, group);
    const found: [QuotaMember, DecisionSource][] = [[owner, "owner"]];
    if (deputy) {
      found.push([deputy, "deputy"]);
    }
    return found.filter(([{ address }]) => !isSilent(address));
  }

  async function ask(
    workspace: string,
    { limit, isLate }: { limit: WorkspaceLimit; isLate: boolean },
  ): Promise<QuotaDecision> {
    await options.prepare();
    for (const [target, by] of targetsOf(workspace)) {
      targets.set(target.server, target);
      const answer = await batches.ask(target.server, {
        workspace,
        limit,
        isLate,
      });
      if (answer?.admitted) {
        closed.delete(workspace);
        return decided({
          kind: "admitted",
          settle: (arrivals) => settle(workspace, arrivals),
        }, { workspace, by });
      }
      if (answer) {
        close(workspace, { limit, ...answer });
        return decided(refuse("over_quota", answer.retryAfterMs), {
          workspace,
          by,
        });
      }
    }
    const decision = cutOff.take(workspace, limit)
      ? ADMITTED
      : refuse("no_owner", NO_OWNER_RETRY_AFTER_MS);
    return decided(decision, { workspace, by: "cut_off" });
  }

  function decided(
    decision: QuotaDecision,
    made: { workspace: string; by: DecisionSource },
  ): QuotaDecision {
    onDecision(decision, made);
    return decision;
  }

  function close(
    workspace: string,
    end: { limit: WorkspaceLimit; closedMs: number; retryAfterMs: number },
  ): void {
    if (closed.size >= MAX_CLOSED) {
      closed.clear();
    }
    const now = timer.now();
    closed.set(workspace, {
      ...end.limit,
      until: now + end.closedMs,
      retryAt: now + end.retryAfterMs,
    });
  }

  /** Returns the refusal of a workspace for which this node does not ask now. */
  function refuseClosed(
    workspace: string,
    limit: WorkspaceLimit,
  ): QuotaDecision | undefined {
    const end = closed.get(workspace);
    const now = timer.now();
    // A new limit counts at once.
    const sameLimit = end?.ratePerS === limit.ratePerS &&
      end.burst === limit.burst;
    if (!end || !sameLimit || end.until <= now) {
      return undefined;
    }
    addUnreported(workspace, { use: 0, refused: 1 });
    return refuse("over_quota", Math.max(end.until, end.retryAt) - now);
  }

  return {
    admit(workspace, isLate = () => false) {
      const limit = limitOf(workspace);
      if (!isLimited(limit)) {
        return ADMITTED;
      }
      const refusal = refuseClosed(workspace, limit);
      return refusal
        ? decided(refusal, { workspace, by: "closed" })
        : ask(workspace, { limit, isLate: isLate() });
    },
    close() {
      stopped = true;
      reportTimer?.cancel();
    },
  };
}
