/**
 * Batches what a node asks another: while one frame is on its way, further asks
 * wait for its answer and then travel together. So a burst at one node costs few
 * exchanges, and a node sends nothing while nothing is asked.
 * @module
 */
import type { WorkspaceLimit } from "./bounds.ts";
import type { QuotaAsk, QuotaGrants } from "./messages.ts";

/** Answer to one request that waits to be admitted. */
export interface QuotaAnswer {
  admitted: boolean;
  closedMs: number;
  retryAfterMs: number;
}

/** Use of a workspace that has not been reported yet. */
export interface Unreported {
  use: number;
  refused: number;
}

/** Batches asks by the peer to which they go. */
export interface AskBatches {
  /** Asks for one request; resolves with undefined if there is no answer. */
  ask(
    target: string,
    request: { workspace: string; limit: WorkspaceLimit; isLate: boolean },
  ): Promise<QuotaAnswer | undefined>;
  /** Reports use without asking for a request. */
  report(
    target: string,
    request: { workspace: string; limit: WorkspaceLimit },
  ): void;
}

/** Options of {@link createAskBatches}. */
export interface AskBatchesOptions {
  /** Sends asks; resolves with undefined if there is no answer. */
  send: (target: string, asks: QuotaAsk[]) => Promise<QuotaGrants | undefined>;
  /** Takes what is to be reported of a workspace. */
  takeUnreported: (workspace: string) => Unreported;
  /** Puts back what could not be reported. */
  putBack: (workspace: string, unreported: Unreported) => void;
}

interface Waiter {
  /** Whether the request can no longer meet its latency objective. */
  isLate: boolean;
  settle: (answer: QuotaAnswer | undefined) => void;
}

interface Waiting {
  workspace: string;
  limit: WorkspaceLimit;
  waiters: Waiter[];
}

interface Batch {
  /** What goes with the next frame, by workspace. */
  next: Map<string, Waiting>;
  sending: boolean;
}

/** Largest number of workspaces in one frame. */
const MAX_WORKSPACES_PER_FRAME = 200;

/** Creates batches in which nothing waits. */
export function createAskBatches(options: AskBatchesOptions): AskBatches {
  const { send, takeUnreported, putBack } = options;
  const batches = new Map<string, Batch>();

  function waitingFor(
    target: string,
    { workspace, limit }: { workspace: string; limit: WorkspaceLimit },
  ): Waiting {
    const batch = batches.get(target) ?? { next: new Map(), sending: false };
    batches.set(target, batch);
    const waiting = batch.next.get(workspace) ??
      { workspace, limit, waiters: [] };
    batch.next.set(workspace, waiting);
    return waiting;
  }

  async function sendBatch(target: string, sent: Waiting[]): Promise<void> {
    const asks = sent.map(({ workspace, limit, waiters }): QuotaAsk => ({
      workspace,
      limit,
      count: waiters.length,
      late: waiters.filter(({ isLate }) => isLate).length,
      ...takeUnreported(workspace),
    }));
    const grants = await send(target, asks);
    sent.forEach(({ workspace, waiters }, index) => {
      const grant = grants?.[index];
      if (!grant) {
        // Tokens that may have been given back already are not given back again.
        const { use, refused } = asks[index];
        putBack(workspace, { use: Math.max(0, use), refused });
        waiters.forEach(({ settle }) => settle(undefined));
        return;
      }
      const { granted, closedMs, retryAfterMs } = grant;
      // Late requests come last, since the others are granted first.
      const ordered = [
        ...waiters.filter(({ isLate }) => !isLate),
        ...waiters.filter(({ isLate }) => isLate),
      ];
      ordered.forEach(({ settle }, order) =>
        settle({ admitted: order < granted, closedMs, retryAfterMs })
      );
    });
  }

  async function sendAll(target: string, batch: Batch): Promise<void> {
    batch.sending = true;
    while (batch.next.size > 0) {
      const sent = [...batch.next.values()].slice(0, MAX_WORKSPACES_PER_FRAME);
      sent.forEach(({ workspace }) => batch.next.delete(workspace));
      await sendBatch(target, sent);
    }
    batches.delete(target);
  }

  function start(target: string): void {
    const batch = batches.get(target)!;
    if (!batch.sending) {
      void sendAll(target, batch);
    }
  }

  return {
    ask(target, request) {
      return new Promise((resolve) => {
        const { isLate } = request;
        waitingFor(target, request).waiters.push({ isLate, settle: resolve });
        start(target);
      });
    },
    report(target, request) {
      waitingFor(target, request);
      start(target);
    },
  };
}
