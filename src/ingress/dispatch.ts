/**
 * Makes the attempts of a request without an idempotency key. A further attempt
 * follows if the last one provably did not run, or if the request is repeatable
 * and the retry budget allows it.
 * @module
 */
import { StepError } from "../core/errors.ts";
import { isTurnedAway } from "../guard/turn_away.ts";
import type { AttemptId, RefusalReason } from "../network/frames.ts";
import { retryAfterMs } from "../overload/retry_after.ts";
import {
  type AnswerEnd,
  attemptAt,
  type AttemptEnd,
  createReply,
  FIRST_SERVER_ERROR,
  type NotRun,
} from "./attempt.ts";
import type { ServiceBudgets } from "./budget.ts";
import { notRunReply, type Reply, timeoutReply, unknownReply } from "./call.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { createHedger, discard } from "./hedge.ts";
import type { IngressParts } from "./parts.ts";
import type { RoutedCall } from "./routed_call.ts";
import { isQueueRefusal } from "./refusal_causes.ts";
import { createSearch } from "./search.ts";
import { createThrottle } from "./throttle.ts";
import { throttleDispatch } from "./throttled_dispatch.ts";

/** Options of {@link createDispatcher}, shared by all requests. */
export interface DispatcherOptions {
  budgets: ServiceBudgets;
  /** Returns the next attempt number of this ingress. */
  nextOrder: () => number;
}

/** Wait in a guard's queue after which no other guard is tried. */
const LONG_WAIT_MS = 30;

/**
 * Returns whether a refusal shows that there is no capacity for a request: the
 * request waited in a queue in vain, or its search ends with the guard that
 * refused it. Its caller then gets the refusal immediately instead of after
 * another wait at a different server.
 */
function isOutOfCapacity(
  end: AttemptEnd,
  { waitedMs, wasLast }: { waitedMs: number; wasLast: boolean },
): boolean {
  return end.kind === "not_run" && isQueueRefusal(end.cause) &&
    (wasLast || waitedMs > LONG_WAIT_MS);
}

/** Returns the reason given to the caller of a request that did not run. */
function reasonOf({ cause }: NotRun): RefusalReason {
  return cause === "quarantined" || cause === "no_time" ? cause : "overloaded";
}

/** Creates a dispatcher. */
export function createDispatcher(
  parts: IngressParts,
  options: DispatcherOptions,
): Dispatcher {
  const { timer, lag, metrics, recorder, directory, incarnation } = parts;

  const throttle = createThrottle({
    timer,
    randomFraction: parts.random.fraction,
  });
  const hedger = createHedger(parts, { budgets: options.budgets, nextId });

  function nextId(): AttemptId {
    return { source: incarnation, order: options.nextOrder() };
  }

  /** Returns how many backend servers a request may reach. */
  function maxReached({ settings }: RoutedCall): number {
    return settings.max_attempts ??
      directory.global?.limits.retry.max_attempts ?? 1;
  }

  function crashLimit(): number {
    return directory.global?.limits.quarantine.crashes ?? 1;
  }

  /** Forwards a body stream, and records whether its reading has started. */
  function observeStream(routed: RoutedCall): {
    stream: AsyncIterable<Uint8Array> | undefined;
    started: () => boolean;
  } {
    const { body } = routed.call;
    let started = false;
    if (body instanceof Uint8Array) {
      return { stream: undefined, started: () => false };
    }
    async function* forward(
      source: AsyncIterable<Uint8Array>,
    ): AsyncGenerator<Uint8Array> {
      started = true;
      let length = 0;
      for await (const part of source) {
        length += part.length;
        if (length > routed.settings.max_body_bytes) {
          throw new StepError("ingress.body", "the request body is too large");
        }
        yield part;
      }
    }
    return { stream: forward(body), started: () => started };
  }

  function mayRetry(end: AttemptEnd, routed: RoutedCall): boolean {
    const { retry } = options.budgets.of(routed.route.service);
    if (end.kind === "not_run") {
      return !end.final && (!end.reached || retry.take());
    }
    const failed = end.kind === "unknown" ||
      end.received.answer.status >= FIRST_SERVER_ERROR;
    return failed && routed.settings.repeatable && retry.take();
  }

  async function run(routed: RoutedCall): Promise<Reply> {
    const { call, route, deadlineAt } = routed;
    const { stream, started } = observeStream(routed);
    const search = createSearch({
      choose: (avoid) => parts.choose(routed, avoid),
      fleetState: (avoid) => parts.fleetState(routed, avoid),
      wasOverloaded: () => throttle.wasOverloaded(route.service),
    });
    let mayHaveRun = false;
    let crashes = 0;
    let lastEnd: AttemptEnd | undefined;
    let lastAnswer: AnswerEnd | undefined;
    const trail: string[] = [];
    let attempts = 0;
    let reached = 0;
    let reachedInVain = 0;
    const reachLimit = maxReached(routed);
    while (reached < reachLimit && timer.now() < deadlineAt) {
      if (attempts > 0 && lag.lagging) {
        await lag.waitForCloses();
      }
      const target = call.signal.cancelled ? undefined : search.next();
      if (!target) {
        break;
      }
      const { member, elsewhere, last: isLastTarget } = target;
      attempts++;
      const sentAt = timer.now();
      const suspect = crashes > 0;
      const end: AttemptEnd = stream
        ? await attemptAt(parts, {
          routed,
          member,
          id: nextId(),
          suspect,
          elsewhere,
          signal: call.signal,
          stream,
        })
        : await hedger.attempt(routed, {
          member,
          suspect,
          elsewhere,
          tried: search.tried,
          mayHedge: reached + 2 <= reachLimit,
          onReached: (count) => {
            reached += count;
          },
        });
      lastEnd = end;
      trail.push(`${member.server}:${causeOf(end)}`);
      reached += end.kind === "not_run" && !end.reached ? 0 : 1;
      reachedInVain += end.kind === "not_run" && end.reached ? 1 : 0;
      if (end.kind === "answer") {
        discard(lastAnswer);
        lastAnswer = end;
      }
      if (end.kind === "unknown") {
        mayHaveRun = true;
        crashes += end.crashed ? 1 : 0;
      }
      if (crashes >= crashLimit()) {
        // Other guards may not know of these crashes yet, and would run the
        // request instead of refusing it.
        break;
      }
      if (started() || !mayRetry(end, routed)) {
        break;
      }
      const waitedMs = timer.now() - sentAt;
      if (isOutOfCapacity(end, { waitedMs, wasLast: isLastTarget })) {
        break;
      }
      if (end.kind === "not_run" && isTurnedAway(end.cause)) {
        search.turnedAway(member, end.retryAfterMs);
        metrics.count("turned_away");
        continue;
      }
      if (end.kind === "not_run" && end.cause === "other_incarnation") {
        const incarnation = parts.hints.incarnationOf(member);
        search.restarted({ ...member, incarnation });
        continue;
      }
      metrics.count("retries");
      recorder.record({
        kind: "retry",
        requestId: call.requestId,
        service: route.service,
        server: member.server,
        cause: causeOf(end),
      });
    }
    // An answer, even one with an error status, tells the caller more than a
    // later end without an answer.
    const reply = lastAnswer
      ? createReply(lastAnswer, attempts)
      : replyWithoutAnswer(lastEnd, { attempts, mayHaveRun, routed });
    return { ...reply, trail, arrivals: reached - reachedInVain };
  }

  function causeOf(end: AttemptEnd): string {
    return end.kind === "answer"
      ? `status ${end.received.answer.status}`
      : end.cause;
  }

  /** Returns after how many ms a caller should come back. */
  function tellRetryAfter(waitMs: number, deadlineAt: number): number {
    const leftMs = deadlineAt - timer.now();
    const fraction = parts.random.fraction();
    return retryAfterMs({ waitMs, leftMs, fraction });
  }

  /** Creates the reply to a request that no backend server answered. */
  function replyWithoutAnswer(
    last: AttemptEnd | undefined,
    state: { attempts: number; mayHaveRun: boolean; routed: RoutedCall },
  ): Reply {
    const { attempts, mayHaveRun, routed } = state;
    const deadlinePassed = timer.now() >= routed.deadlineAt;
    if (mayHaveRun) {
      const cause = last ? causeOf(last) : "lost";
      return deadlinePassed
        ? timeoutReply(cause, attempts)
        : unknownReply(cause, attempts);
    }
    if (!last || last.kind === "answer") {
      return notRunReply(deadlinePassed ? "no_time" : "no_backend_server");
    }
    const toldMs = last.kind === "not_run"
      ? tellRetryAfter(last.retryAfterMs, routed.deadlineAt)
      : 0;
    const reason = last.kind === "not_run" ? reasonOf(last) : "overloaded";
    return {
      ...notRunReply(reason, { attempts, retryAfterMs: toldMs }),
      reason: last.cause,
    };
  }

  return throttleDispatch({ run }, {
    throttle,
    timer,
    metrics,
    tellRetryAfter,
  });
}
