/**
 * Attempts of a request without a key: the first, and further ones after a
 * proof that nothing ran or, if it is repeatable, within a budget.
 * @module
 */
import type { Member } from "../control/commands.ts";
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import { isTurnedAway } from "../guard/turn_away.ts";
import type {
  AttemptId,
  FenceState,
  RefusalReason,
} from "../network/frames.ts";
import type { ServiceBudgets } from "./budget.ts";
import { notRunReply, type Reply, timeUpReply, unknownReply } from "./call.ts";
import type { ExchangeEnd, ReceivedAnswer } from "./exchange.ts";
import type { IngressParts, RoutedCall } from "./ingress.ts";
import { createSearch } from "./search.ts";

/** An attempt that certainly did not run. */
interface NotRun {
  kind: "not_run";
  cause: string;
  retryAfterMs: number;
  /** Whether no other backend server may run the request either. */
  final: boolean;
  /** Whether the backend server got the request, and turned it away. */
  reached: boolean;
}

/** How one attempt ended, as far as can be known. */
export type AttemptEnd =
  | { kind: "answer"; received: ReceivedAnswer; member: Member }
  | NotRun
  | { kind: "unknown"; cause: string; crashed: boolean };

/** An attempt that the backend server answered. */
type AnswerEnd = Extract<AttemptEnd, { kind: "answer" }>;

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

const FIRST_SERVER_ERROR = 500;
const MIN_HEDGE_DELAY_MS = 2;
const MEDIAN = 0.5;
const QUEUE_REFUSALS = new Set<string>(["overloaded", "cold", "no_connection"]);
/** Time in a queue after which no second one is tried. */
const LONG_WAIT_MS = 30;
/**
 * Time past its deadline for which an attempt is waited for, so that what ends
 * at the deadline is told by the one who ended it.
 */
const ANSWER_GRACE_MS = 40;

/**
 * Whether a request waited in a queue in vain: its caller is told at once,
 * rather than after another wait elsewhere.
 */
function hasWaited(end: AttemptEnd, waitedMs: number): boolean {
  return end.kind === "not_run" && QUEUE_REFUSALS.has(end.cause) &&
    waitedMs > LONG_WAIT_MS;
}

/** Why a request that did not run is refused to its caller. */
function reasonOf({ cause }: NotRun): RefusalReason {
  return cause === "quarantined" || cause === "no_time" ? cause : "overloaded";
}

/** Turns an answer into the reply to the caller. */
export function replyOf(
  end: AnswerEnd,
  attempts: number,
): Reply {
  const { answer, body } = end.received;
  return {
    status: answer.status,
    headers: answer.headers,
    body,
    outcome: "ran",
    reason: "",
    attempts,
    server: end.member.server,
  };
}

/** Makes one attempt at one server and finds out how it ended. */
export async function attemptAt(
  parts: IngressParts,
  attempt: {
    routed: RoutedCall;
    member: Member;
    id: AttemptId;
    suspect: boolean;
    /** Whether another guard is asked if this one refuses. */
    elsewhere?: boolean;
    signal: Cancellation;
    stream?: AsyncIterable<Uint8Array>;
    /** The guard says that the attempt has begun on a slow server. */
    onSlow?: () => void;
  },
): Promise<AttemptEnd> {
  const { routed, member, id, suspect, elsewhere = false, signal } = attempt;
  const { settings } = routed;
  const deadlineAt = routed.deadlineAt + ANSWER_GRACE_MS;
  const { timer, hints, exchanger } = parts;
  const startedAt = timer.now();
  const usualMs = parts.metrics.quantile(settings.class, MEDIAN);
  const finish = hints.begin(member.server, usualMs);
  const target = {
    address: member.address,
    attempt: id,
    incarnation: member.incarnation,
    deadlineAt,
    signal,
  };
  let end: ExchangeEnd = await exchanger.run({
    address: member.address,
    attempt: parts.attemptFrame(routed, {
      member,
      attempt: id,
      suspect,
      elsewhere,
    }),
    stream: attempt.stream,
    onSlow: attempt.onSlow,
    signal,
    deadlineAt,
  });
  if (end.kind === "lost" && end.sent && !settings.repeatable) {
    const state = await exchanger.fence(target);
    recordFence(parts, { routed, member, state });
    if (state === "fenced") {
      finish({ latencyMs: timer.now() - startedAt, ok: false });
      return notRun("fenced after a lost connection");
    }
    if (state === "running" || state === "finished" || state === "failed") {
      end = await exchanger.resume(target);
    }
  }
  return conclude(end);

  function notRun(cause: string, more: Partial<NotRun> = {}): AttemptEnd {
    return {
      kind: "not_run",
      cause,
      retryAfterMs: 0,
      final: false,
      reached: false,
      ...more,
    };
  }

  function conclude(last: ExchangeEnd): AttemptEnd {
    const latencyMs = timer.now() - startedAt;
    if (last.kind === "lost") {
      const cancelled = signal.cancelled;
      finish({ latencyMs, ok: cancelled, cancelled });
      return last.sent
        ? { kind: "unknown", cause: last.cause, crashed: false }
        : notRun("connect_failed");
    }
    const load = last.kind === "answer" ? last.answer.load : last.load;
    if (load.version > parts.directory.version) {
      parts.onNewerVersion(load.version, member.address);
    }
    if (last.kind === "refused") {
      const shed = last.reason === "shed";
      finish(shed ? { latencyMs, ok: false, load } : undefined);
      hints.report(member.server, load);
      return notRun(last.reason, {
        retryAfterMs: last.retryAfterMs,
        final: last.reason === "quarantined" || last.reason === "no_time",
        reached: last.reason === "shed",
      });
    }
    if (last.kind === "failed") {
      finish({ latencyMs, ok: false, load });
      const { reached } = last;
      return last.outcome === "not_run" ? notRun(last.cause, { reached }) : {
        kind: "unknown",
        cause: last.cause,
        crashed: last.crashed,
      };
    }
    const ok = last.answer.status < FIRST_SERVER_ERROR;
    finish({ latencyMs, ok, load });
    return { kind: "answer", received: last, member };
  }
}

function recordFence(
  parts: IngressParts,
  fence: {
    routed: RoutedCall;
    member: Member;
    state: FenceState | "unreachable";
  },
): void {
  parts.metrics.count("fences");
  parts.recorder.record({
    kind: "fence",
    requestId: fence.routed.call.requestId,
    service: fence.routed.route.service,
    server: fence.member.server,
    cause: fence.state,
  });
}

/** Creates a dispatcher. */
export function createDispatcher(
  parts: IngressParts,
  budgets: DispatchBudgets,
): Dispatcher {
  const { timer, metrics, recorder, directory, incarnation } = parts;

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

  /** Closes the answer of an attempt that lost against another. */
  function discard(end: AttemptEnd | undefined): void {
    if (end?.kind === "answer" && !(end.received.body instanceof Uint8Array)) {
      void end.received.body[Symbol.asyncIterator]().return?.();
    }
  }

  /** Makes an attempt, and a second one elsewhere if the first is slow. */
  async function attemptHedged(
    routed: RoutedCall,
    first: {
      member: Member;
      suspect: boolean;
      elsewhere: boolean;
      tried: Set<string>;
      mayHedge: boolean;
      /** Is told how many backend servers a second attempt has reached. */
      onReached: (count: number) => void;
    },
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
    const release = signal.onCancel(() =>
      cancellers.forEach((one) => one.cancel())
    );
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
    const firstEnded = await endsInTime(attempts[0], { delayMs, slow });
    const other = firstEnded
      ? undefined
      : parts.choose(routed.route.service, new Set([...tried, member.server]));
    const hedge = budgets.budgets.of(routed.route.service).hedge;
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
    release();
    return best.end;
  }

  /** Whether an attempt ends before a time is up, or its server is slow. */
  function endsInTime(
    attempt: Promise<AttemptEnd>,
    until: { delayMs: number | undefined; slow: Cancellation },
  ): Promise<boolean> {
    return new Promise((resolve) => {
      const timeout = until.delayMs === undefined
        ? undefined
        : timer.after(until.delayMs, () => resolve(false));
      until.slow.onCancel(() => resolve(false));
      void attempt.then(() => {
        timeout?.cancel();
        resolve(true);
      });
    });
  }

  /** Resolves with the first answer, or else with the last other end. */
  function firstAnswer(
    attempts: Promise<AttemptEnd>[],
  ): Promise<{ end: AttemptEnd; index: number }> {
    return new Promise((resolve) => {
      let open = attempts.length;
      let unknown: { end: AttemptEnd; index: number } | undefined;
      attempts.forEach((attempt, index) =>
        attempt.then((end) => {
          open--;
          if (end.kind === "unknown") {
            unknown = { end, index };
          }
          if (end.kind === "answer") {
            resolve({ end, index });
          } else if (open === 0) {
            resolve(unknown ?? { end, index });
          }
        })
      );
    });
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
    const search = createSearch((avoid) => parts.choose(route.service, avoid));
    let mayHaveRun = false;
    let crashes = 0;
    let last: AttemptEnd | undefined;
    let answered: AnswerEnd | undefined;
    let attempts = 0;
    let reached = 0;
    const most = maxReached(routed);
    while (reached < most && timer.now() < deadlineAt) {
      const place = call.signal.cancelled ? undefined : search.next();
      if (!place) {
        break;
      }
      const { member, elsewhere } = place;
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
        : await attemptHedged(routed, {
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
      if (hasWaited(end, timer.now() - askedAt)) {
        break;
      }
      if (end.kind === "not_run" && isTurnedAway(end.cause)) {
        search.turnedAway(member);
        metrics.count("turned_away");
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
    return answered
      ? replyOf(answered, attempts)
      : withoutAnswer(last, { attempts, mayHaveRun, routed });
  }

  function causeOf(end: AttemptEnd): string {
    return end.kind === "answer"
      ? `status ${end.received.answer.status}`
      : end.cause;
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
    const retryAfterMs = last.kind === "not_run" ? last.retryAfterMs : 0;
    const reason = last.kind === "not_run" ? reasonOf(last) : "overloaded";
    return {
      ...notRunReply(reason, { attempts, retryAfterMs }),
      reason: last.cause,
    };
  }

  return { run };
}
