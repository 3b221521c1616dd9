/**
 * One attempt of a request at one backend server: sends it, and determines how
 * it ended as far as that can be known.
 * @module
 */
import type { Member } from "../control/commands.ts";
import type { Cancellation } from "../core/cancellation.ts";
import { MEDIAN } from "../metrics/metrics.ts";
import type { AttemptId, FenceState } from "../network/frames.ts";
import type { Reply } from "./call.ts";
import type { ExchangeEnd, ReceivedAnswer } from "./exchange_end.ts";
import type { IngressParts } from "./parts.ts";
import type { RoutedCall } from "./routed_call.ts";

/** End of an attempt that provably did not run. */
export interface NotRun {
  kind: "not_run";
  cause: string;
  retryAfterMs: number;
  /** Whether the request must not be tried at another backend server. */
  final: boolean;
  /** Whether the backend server received the request and rejected it. */
  reached: boolean;
}

/** How an attempt ended, as far as that can be known. */
export type AttemptEnd =
  | { kind: "answer"; received: ReceivedAnswer; member: Member }
  | NotRun
  | { kind: "unknown"; cause: string; crashed: boolean };

/** End of an attempt that the backend server answered. */
export type AnswerEnd = Extract<AttemptEnd, { kind: "answer" }>;

/** Lowest HTTP status that reports a server error. */
export const FIRST_SERVER_ERROR = 500;
/**
 * Time for which an attempt is awaited beyond its deadline, so that a guard
 * that ends it at the deadline can still report the cause.
 */
const ANSWER_GRACE_MS = 40;

/** Creates the reply to the caller from an answer. */
export function createReply(
  end: AnswerEnd,
  attempts: number,
): Reply {
  const { answer, body, cut } = end.received;
  return {
    status: answer.status,
    headers: answer.headers,
    body,
    cut,
    outcome: "ran",
    reason: "",
    attempts,
    server: end.member.server,
  };
}

/** Makes one attempt at one server, and resolves with its end. */
export async function attemptAt(
  parts: IngressParts,
  attempt: {
    routed: RoutedCall;
    member: Member;
    id: AttemptId;
    suspect: boolean;
    /** Whether the guard may turn the request away to another server. */
    elsewhere?: boolean;
    signal: Cancellation;
    stream?: AsyncIterable<Uint8Array>;
    /**
     * Called when the attempt runs on a slow server, or the guard is silent.
     */
    onSlow?: () => void;
  },
): Promise<AttemptEnd> {
  const { routed, member, id, suspect, elsewhere = false, signal } = attempt;
  const { settings } = routed;
  const deadlineAt = routed.deadlineAt + ANSWER_GRACE_MS;
  const { timer, hints, exchanger } = parts;
  const startedAt = timer.now();
  const usualMs = parts.metrics.quantile(settings.class, MEDIAN);
  const finish = hints.startAttempt(member.server, usualMs);
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
  const hasTime = timer.now() < deadlineAt;
  if (end.kind === "lost" && end.sent && !settings.repeatable && hasTime) {
    const state = await exchanger.fence(target);
    recordFence(parts, { routed, member, state });
    if (state === "fenced") {
      return endFenced("fenced after a lost connection");
    }
    if (state === "running" || state === "finished" || state === "failed") {
      end = await exchanger.resume(target);
    }
  }
  return conclude(end);

  /** Ends an attempt that was sent, but was fenced before it started. */
  function endFenced(cause: string): AttemptEnd {
    finish({ latencyMs: timer.now() - startedAt, ok: false });
    return notRun(cause);
  }

  function notRun(cause: string, details: Partial<NotRun> = {}): AttemptEnd {
    return {
      kind: "not_run",
      cause,
      retryAfterMs: 0,
      final: false,
      reached: false,
      ...details,
    };
  }

  function conclude(exchangeEnd: ExchangeEnd): AttemptEnd {
    const latencyMs = timer.now() - startedAt;
    if (exchangeEnd.kind === "fenced") {
      return endFenced("fenced after a silence");
    }
    if (exchangeEnd.kind === "lost") {
      const cancelled = signal.cancelled;
      finish({ latencyMs, ok: cancelled, cancelled });
      return exchangeEnd.sent
        ? { kind: "unknown", cause: exchangeEnd.cause, crashed: false }
        : notRun("connect_failed");
    }
    const load = exchangeEnd.kind === "answer"
      ? exchangeEnd.answer.load
      : exchangeEnd.load;
    if (load.version > parts.directory.version) {
      parts.onNewerVersion(load.version, member.address);
    }
    if (exchangeEnd.kind === "refused") {
      const shed = exchangeEnd.reason === "shed";
      finish(shed ? { latencyMs, ok: false, load } : undefined);
      hints.recordLoad(member.server, load);
      return notRun(exchangeEnd.reason, {
        retryAfterMs: exchangeEnd.retryAfterMs,
        final: exchangeEnd.reason === "quarantined" ||
          exchangeEnd.reason === "no_time",
        reached: exchangeEnd.reason === "shed",
      });
    }
    if (exchangeEnd.kind === "failed") {
      finish({ latencyMs, ok: false, load });
      const { reached } = exchangeEnd;
      return exchangeEnd.outcome === "not_run"
        ? notRun(exchangeEnd.cause, { reached })
        : {
          kind: "unknown",
          cause: exchangeEnd.cause,
          crashed: exchangeEnd.crashed,
        };
    }
    const ok = exchangeEnd.answer.status < FIRST_SERVER_ERROR;
    finish({ latencyMs, ok, load });
    if (ok) {
      parts.sizes.record(settings.class, exchangeEnd);
    }
    return { kind: "answer", received: exchangeEnd, member };
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
