/**
 * An attempt with a second one elsewhere if the first is slow. The first answer
 * counts, and the other attempt is cancelled.
 * @module
 */
import type { Member } from "../control/commands.ts";
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import type { AttemptId } from "../network/frames.ts";
import {
  attemptAt,
  type AttemptEnd,
  FIRST_SERVER_ERROR,
  MEDIAN,
} from "./attempt.ts";
import type { ServiceBudgets } from "./budget.ts";
import type { IngressParts, RoutedCall } from "./ingress.ts";

/** The attempt that is made first. */
export interface FirstAttempt {
  member: Member;
  suspect: boolean;
  /** Whether another guard is asked if this one refuses. */
  elsewhere: boolean;
  /** Backend servers that are not tried again; a second one is added. */
  tried: Set<string>;
  /** Whether the request may reach one more backend server. */
  mayHedge: boolean;
  /** Is told how many backend servers a second attempt has reached. */
  onReached: (count: number) => void;
}

/** Makes attempts, and second ones where the first are slow. */
export interface Hedger {
  attempt(routed: RoutedCall, first: FirstAttempt): Promise<AttemptEnd>;
}

const MIN_HEDGE_DELAY_MS = 2;

/** Closes the answer of an attempt that lost against another. */
export function discard(end: AttemptEnd | undefined): void {
  if (end?.kind === "answer") {
    end.received.close?.();
  }
}

const ANSWERED_WEIGHT = 3;

/** How much an end tells its caller, against the end of another attempt. */
function weightOf(end: AttemptEnd): number {
  if (end.kind === "answer") {
    const failed = end.received.answer.status >= FIRST_SERVER_ERROR;
    return failed ? 2 : ANSWERED_WEIGHT;
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

  function hedgeDelay(routed: RoutedCall): number | undefined {
    const { settings } = routed;
    const limits = directory.global?.limits.retry;
    if (!settings.hedge || !limits) {
      return undefined;
    }
    const tail = metrics.quantile(settings.class, limits.hedge_quantile);
    const median = metrics.quantile(settings.class, MEDIAN);
    if (tail === undefined || median === undefined) {
      return undefined;
    }
    // In noisy times the tail itself is slow, but the median is not.
    const delay = Math.min(tail, median * limits.hedge_median_factor);
    return Math.max(MIN_HEDGE_DELAY_MS, delay);
  }

  async function attempt(
    routed: RoutedCall,
    first: FirstAttempt,
  ): Promise<AttemptEnd> {
    const { member, suspect, elsewhere, tried, mayHedge } = first;
    const delayMs = hedgeDelay(routed);
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
    // Also while the answer goes on as a stream.
    signal.onCancel(() => cancellers.forEach((one) => one.cancel()));
    const slow = createCanceller();
    function begin(index: 0 | 1, at: Member): Promise<AttemptEnd> {
      return attemptAt(parts, {
        routed,
        member: at,
        id: nextId(),
        suspect: false,
        elsewhere: index === 1 || elsewhere,
        signal: cancellers[index],
        onSlow: index === 0 ? slow.cancel : undefined,
      });
    }
    const attempts = [begin(0, member)];
    let firstEnded = await endsInTime(attempts[0], { delayMs, slow });
    if (!firstEnded && lag.late) {
      // Timers come before the poll that tells of an answer or a leaving.
      void attempts[0].then(() => {
        firstEnded = true;
      });
      await lag.closingsKnown();
    }
    const other = firstEnded || signal.cancelled
      ? undefined
      : parts.choose(routed, new Set([...tried, member.server]));
    const hedge = budgets.of(routed.route.service).hedge;
    if (!firstEnded && other && hedge.take()) {
      metrics.count("hedges");
      recorder.record({
        kind: "hedge",
        requestId: routed.call.requestId,
        service: routed.route.service,
        server: other.server,
        cause: slow.cancelled
          ? `${member.server} is slow`
          : `no answer from ${member.server} in ${delayMs?.toFixed(1)} ms`,
      });
      tried.add(other.server);
      first.onReached(1);
      const second = begin(1, other);
      void second.then((end) => {
        if (end.kind === "not_run" && !end.reached) {
          first.onReached(-1);
        }
      });
      attempts.push(second);
    }
    const best = await firstAnswer(attempts);
    attempts.forEach((one, index) => {
      if (index !== best.index) {
        cancellers[index].cancel();
        void one.then(discard);
      }
    });
    return best.end;
  }

  /** Whether an attempt ends before a time is up, or its server is slow. */
  function endsInTime(
    one: Promise<AttemptEnd>,
    until: { delayMs: number | undefined; slow: Cancellation },
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const timeout = until.delayMs === undefined
        ? undefined
        : timer.after(until.delayMs, () => resolve(false));
      until.slow.onCancel(() => resolve(false));
      void one.then(() => {
        timeout?.cancel();
        resolve(true);
      });
    });
  }

  /**
   * Resolves with the first answer that is no failure of the server. Else, once
   * all have ended, with a failure, an unknown end or a refusal.
   */
  function firstAnswer(
    attempts: Promise<AttemptEnd>[],
  ): Promise<{ end: AttemptEnd; index: number }> {
    return new Promise((resolve) => {
      let open = attempts.length;
      let best: { end: AttemptEnd; index: number } | undefined;
      attempts.forEach((one, index) =>
        one.then((end) => {
          open--;
          if (!best || weightOf(end) > weightOf(best.end)) {
            best = { end, index };
          }
          if (open === 0 || weightOf(end) === ANSWERED_WEIGHT) {
            resolve(best);
          }
        })
      );
    });
  }

  return { attempt };
}
