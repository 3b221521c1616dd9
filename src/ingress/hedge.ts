/**
 * Hedged attempts: if an attempt is slow, a second one is made at another
 * server. The first answer is used, and the other attempt is cancelled.
 * @module
 */
import type { Member } from "../control/commands.ts";
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { MEDIAN } from "../metrics/metrics.ts";
import type { AttemptId } from "../network/frames.ts";
import { attemptAt, type AttemptEnd, FIRST_SERVER_ERROR } from "./attempt.ts";
import type { ServiceBudgets } from "./budget.ts";
import type { IngressParts } from "./parts.ts";
import type { RoutedCall } from "./routed_call.ts";

/** The first attempt, and what limits a second one. */
export interface FirstAttempt {
  member: Member;
  suspect: boolean;
  /** Whether the guard may turn the request away to another server. */
  elsewhere: boolean;
  /** Servers already tried; the server of a second attempt is added. */
  tried: Set<string>;
  /** Whether the request may reach a second backend server. */
  mayHedge: boolean;
  /**
   * Called with 1 when a second attempt is made, and with -1 if it turns out
   * not to have reached its backend server.
   */
  onReached: (count: number) => void;
}

/** Makes attempts, and hedges the slow ones. */
export interface Hedger {
  attempt(routed: RoutedCall, first: FirstAttempt): Promise<AttemptEnd>;
}

const MIN_HEDGE_DELAY_MS = 2;

/** Closes the answer of an attempt that is not used. */
export function discard(end: AttemptEnd | undefined): void {
  if (end?.kind === "answer") {
    end.received.close?.();
  }
}

const ANSWER_PRIORITY = 3;

/** Returns the priority of an end when one of several is reported. */
function priorityOf(end: AttemptEnd): number {
  if (end.kind === "answer") {
    const failed = end.received.answer.status >= FIRST_SERVER_ERROR;
    return failed ? 2 : ANSWER_PRIORITY;
  }
  return end.kind === "unknown" ? 1 : 0;
}

/** Creates a hedger. */
export function createHedger(
  parts: IngressParts,
  options: { budgets: ServiceBudgets; nextId: () => AttemptId },
): Hedger {
  const { timer, lag, metrics, recorder, directory } = parts;
  const { budgets, nextId } = options;

  function hedgeDelayMs(routed: RoutedCall): number | undefined {
    const { settings } = routed;
    const limits = directory.global?.limits.retry;
    if (!settings.hedge || !limits) {
      return undefined;
    }
    const tailMs = metrics.quantile(settings.class, limits.hedge_quantile);
    const medianMs = metrics.quantile(settings.class, MEDIAN);
    if (tailMs === undefined || medianMs === undefined) {
      return undefined;
    }
    // While many servers are slow, the tail rises, but the median does not.
    const cappedMs = Math.min(tailMs, medianMs * limits.hedge_median_factor);
    return Math.max(MIN_HEDGE_DELAY_MS, cappedMs);
  }

  async function attempt(
    routed: RoutedCall,
    first: FirstAttempt,
  ): Promise<AttemptEnd> {
    const { member, suspect, elsewhere, tried, mayHedge } = first;
    const delayMs = hedgeDelayMs(routed);
    const { signal } = routed.call;
    if (suspect || !mayHedge || !routed.settings.hedge) {
      return await attemptAt(parts, {
        routed,
        member,
        id: nextId(),
        suspect,
        elsewhere,
        signal,
      });
    }
    const cancellers = [createCanceller(), createCanceller()];
    // The caller may also leave while an answer is streamed.
    signal.onCancel(() =>
      cancellers.forEach((canceller) => canceller.cancel())
    );
    const hedgeNow = createCanceller();
    function start(index: 0 | 1, at: Member): Promise<AttemptEnd> {
      return attemptAt(parts, {
        routed,
        member: at,
        id: nextId(),
        suspect: false,
        elsewhere: index === 1 || elsewhere,
        signal: cancellers[index],
        onSlow: index === 0 ? hedgeNow.cancel : undefined,
      });
    }
    const attempts = [start(0, member)];
    let firstEnded = await endsBeforeHedge(attempts[0], { delayMs, hedgeNow });
    if (!firstEnded && lag.lagging) {
      // After a stall of the event loop, the hedge timer may run before an
      // answer or the caller's disconnect is read.
      void attempts[0].then(() => {
        firstEnded = true;
      });
      await lag.waitForCloses();
    }
    const hedgeMember = firstEnded || signal.cancelled
      ? undefined
      : parts.choose(routed, new Set([...tried, member.server]));
    const hedge = budgets.of(routed.route.service).hedge;
    if (!firstEnded && hedgeMember && hedge.take()) {
      metrics.count("hedges");
      recorder.record({
        kind: "hedge",
        requestId: routed.call.requestId,
        service: routed.route.service,
        server: hedgeMember.server,
        cause: hedgeNow.cancelled
          ? `${member.server} is slow`
          : `no answer from ${member.server} in ${delayMs?.toFixed(1)} ms`,
      });
      tried.add(hedgeMember.server);
      first.onReached(1);
      const second = start(1, hedgeMember);
      void second.then((end) => {
        if (end.kind === "not_run" && !end.reached) {
          first.onReached(-1);
        }
      });
      attempts.push(second);
    }
    const best = await firstAnswer(attempts);
    attempts.forEach((pending, index) => {
      if (index !== best.index) {
        cancellers[index].cancel();
        void pending.then(discard);
      }
    });
    return best.end;
  }

  /**
   * Resolves with true if an attempt ends first, and with false once the hedge
   * delay has passed or the server is reported to be slow.
   */
  function endsBeforeHedge(
    pending: Promise<AttemptEnd>,
    until: { delayMs: number | undefined; hedgeNow: Cancellation },
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const timeout = until.delayMs === undefined
        ? undefined
        : timer.after(until.delayMs, () => resolve(false));
      until.hedgeNow.onCancel(() => resolve(false));
      void pending.then(() => {
        timeout?.cancel();
        resolve(true);
      });
    });
  }

  /**
   * Resolves with the first answer that is not a server error. If there is
   * none, resolves once all attempts have ended, with the end of highest
   * priority: a server error, an unknown end, or an attempt that did not run.
   */
  function firstAnswer(
    attempts: Promise<AttemptEnd>[],
  ): Promise<{ end: AttemptEnd; index: number }> {
    return new Promise((resolve) => {
      let open = attempts.length;
      let best: { end: AttemptEnd; index: number } | undefined;
      attempts.forEach((pending, index) =>
        pending.then((end) => {
          open--;
          if (!best || priorityOf(end) > priorityOf(best.end)) {
            best = { end, index };
          }
          if (open === 0 || priorityOf(end) === ANSWER_PRIORITY) {
            resolve(best);
          }
        })
      );
    });
  }

  return { attempt };
}
