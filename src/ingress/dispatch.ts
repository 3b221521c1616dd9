/**
 * Attempts of a request without a key: the first, and further ones after a
 * proof that nothing ran or, if it is repeatable, within a budget.
 * @module
 */
import { StepError } from "../core/errors.ts";
import { isTurnedAway } from "../guard/load_shedding.ts";
import type { AttemptId, RefusalReason } from "../network/frames.ts";
import {
  type AnswerEnd,
  attemptAt,
  type AttemptEnd,
  FIRST_SERVER_ERROR,
  type NotRun,
  replyOf,
} from "./attempt.ts";
import type { ServiceBudgets } from "./budget.ts";
import { notRunReply, type Reply, timeUpReply, unknownReply } from "./call.ts";
import { createHedger, discard } from "./hedge.ts";
import type { IngressParts, RoutedCall } from "./ingress.ts";
import { createSearch } from "./search.ts";

/** What attempts of an ingress share. */
export interface DispatchBudgets {
  budgets: ServiceBudgets;
  /** Returns the next attempt order of this ingress. */
  nextOrder: () => number;
}

/** Makes the attempts of requests without a key. */
export interface Dispatcher {
  run(routed: RoutedCall): Promise<Reply>;
}

const QUEUE_REFUSALS = new Set<string>(["overloaded", "cold", "no_connection"]);
/** Share of the time to come back by which callers are spread. */
const RETURN_SPREAD = 0.5;
/** Time in a queue after which no second one is tried. */
const LONG_WAIT_MS = 30;
/**
 * Whether there is no place for a request: it waited in a queue in vain, or
 * was refused by the guard with the shortest wait. Its caller is told at once,
 * rather than after another wait elsewhere.
 */
function hasNoPlace(
  end: AttemptEnd,
  { waitedMs, wasBest }: { waitedMs: number; wasBest: boolean },
): boolean {
  return end.kind === "not_run" && QUEUE_REFUSALS.has(end.cause) &&
    (wasBest || waitedMs > LONG_WAIT_MS);
}

/** Why a request that did not run is refused to its caller. */
function reasonOf({ cause }: NotRun): RefusalReason {
  return cause === "quarantined" || cause === "no_time" ? cause : "overloaded";
}

/** Creates a dispatcher. */
export function createDispatcher(
  parts: IngressParts,
  budgets: DispatchBudgets,
): Dispatcher {
  const { timer, lag, metrics, recorder, directory, incarnation } = parts;

  const hedger = createHedger(parts, { budgets: budgets.budgets, nextId });

  function nextId(): AttemptId {
    return { source: incarnation, order: budgets.nextOrder() };
  }

  /** Backend servers that a request may reach. */
  function maxReached({ settings }: RoutedCall): number {
    return settings.max_attempts ??
      directory.global?.limits.retry.max_attempts ?? 1;
  }

  function crashLimit(): number {
    return directory.global?.limits.quarantine.crashes ?? 1;
  }

  /** Passes a body stream through, and notes once its first part is taken. */
  function watched(routed: RoutedCall): {
    stream: AsyncIterable<Uint8Array> | undefined;
    started: () => boolean;
  } {
    const { body } = routed.call;
    let started = false;
    if (body instanceof Uint8Array) {
      return { stream: undefined, started: () => false };
    }
    async function* pass(
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
    return { stream: pass(body), started: () => started };
  }

  function retryable(end: AttemptEnd, routed: RoutedCall): boolean {
    const { retry } = budgets.budgets.of(routed.route.service);
    if (end.kind === "not_run") {
      return !end.final && (!end.reached || retry.take());
    }
    const failed = end.kind === "unknown" ||
      end.received.answer.status >= FIRST_SERVER_ERROR;
    return failed && routed.settings.repeatable && retry.take();
  }

  async function run(routed: RoutedCall): Promise<Reply> {
    const { call, route, deadlineAt } = routed;
    const { stream, started } = watched(routed);
    const search = createSearch({
      choose: (avoid) => parts.choose(routed, avoid),
      outlook: (avoid) => parts.outlook(routed, avoid),
    });
    let mayHaveRun = false;
    let crashes = 0;
    let last: AttemptEnd | undefined;
    let answered: AnswerEnd | undefined;
    const trail: string[] = [];
    let attempts = 0;
    let reached = 0;
    const most = maxReached(routed);
    while (reached < most && timer.now() < deadlineAt) {
      if (attempts > 0 && lag.late) {
        await lag.closingsKnown();
      }
      const place = call.signal.cancelled ? undefined : search.next();
      if (!place) {
        break;
      }
      const { member, elsewhere, last: isLast } = place;
      attempts++;
      const askedAt = timer.now();
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
          mayHedge: reached + 2 <= most,
          onReached: (count) => {
            reached += count;
          },
        });
      last = end;
      trail.push(`${member.server}:${causeOf(end)}`);
      reached += end.kind === "not_run" && !end.reached ? 0 : 1;
      if (end.kind === "answer") {
        discard(answered);
        answered = end;
      }
      if (end.kind === "unknown") {
        mayHaveRun = true;
        crashes += end.crashed ? 1 : 0;
      }
      if (crashes >= crashLimit()) {
        // Guards may not have heard of each other's crashes yet.
        break;
      }
      if (started() || !retryable(end, routed)) {
        break;
      }
      const waitedMs = timer.now() - askedAt;
      if (hasNoPlace(end, { waitedMs, wasBest: isLast })) {
        break;
      }
      if (end.kind === "not_run" && isTurnedAway(end.cause)) {
        search.turnedAway(member, end.retryAfterMs);
        metrics.count("turned_away");
        continue;
      }
      if (end.kind === "not_run" && end.cause === "other_incarnation") {
        search.startedAgain(member);
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
    // An answer, even one of failure, is more than what came after it.
    const reply = answered
      ? replyOf(answered, attempts)
      : withoutAnswer(last, { attempts, mayHaveRun, routed });
    return { ...reply, trail };
  }

  function causeOf(end: AttemptEnd): string {
    return end.kind === "answer"
      ? `status ${end.received.answer.status}`
      : end.cause;
  }

  /** Spreads a time to come back, so that callers do not return together. */
  function spread(ms: number): number {
    return ms * (1 + RETURN_SPREAD * parts.random.fraction());
  }

  /** Creates the reply to a request that no backend server answered. */
  function withoutAnswer(
    last: AttemptEnd | undefined,
    state: { attempts: number; mayHaveRun: boolean; routed: RoutedCall },
  ): Reply {
    const { attempts, mayHaveRun, routed } = state;
    const timeUp = timer.now() >= routed.deadlineAt;
    if (mayHaveRun) {
      const cause = last ? causeOf(last) : "lost";
      return timeUp
        ? timeUpReply(cause, attempts)
        : unknownReply(cause, attempts);
    }
    if (!last || last.kind === "answer") {
      return notRunReply(timeUp ? "no_time" : "no_backend_server");
    }
    const retryAfterMs = last.kind === "not_run"
      ? spread(last.retryAfterMs)
      : 0;
    const reason = last.kind === "not_run" ? reasonOf(last) : "overloaded";
    return {
      ...notRunReply(reason, { attempts, retryAfterMs }),
      reason: last.cause,
    };
  }

  return { run };
}
