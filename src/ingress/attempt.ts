/**
 * One attempt of a request at one backend server: it goes out, and what became
 * of it is found out as far as can be known.
 * @module
 */
import type { Member } from "../control/commands.ts";
import type { Cancellation } from "../core/cancellation.ts";
import type { AttemptId, FenceState } from "../network/frames.ts";
import type { Reply } from "./call.ts";
import type { ExchangeEnd, ReceivedAnswer } from "./conversation.ts";
import type { IngressParts, RoutedCall } from "./ingress.ts";

/** An attempt that certainly did not run. */
export interface NotRun {
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
export type AnswerEnd = Extract<AttemptEnd, { kind: "answer" }>;

/** Status from which an answer tells of a failure of the server. */
export const FIRST_SERVER_ERROR = 500;
/** Quantile that stands for the usual latency of a kind of request. */
export const MEDIAN = 0.5;
/**
 * Time past its deadline for which an attempt is waited for, so that what ends
 * at the deadline is told by the one who ended it.
 */
const ANSWER_GRACE_MS = 40;

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
      return fenced("fenced after a lost connection");
    }
    if (state === "running" || state === "finished" || state === "failed") {
      end = await exchanger.resume(target);
    }
  }
  return conclude(end);

  /** The attempt went out, and never starts. */
  function fenced(cause: string): AttemptEnd {
    finish({ latencyMs: timer.now() - startedAt, ok: false });
    return notRun(cause);
  }

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
    if (last.kind === "fenced") {
      return fenced("fenced after a silence");
    }
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
    if (ok) {
      parts.sizes.note(settings.class, last);
    }
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
