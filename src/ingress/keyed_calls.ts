/**
 * Dispatches requests with an idempotency key. The key is claimed through the
 * quorum of control before an attempt is made, and a repeated submission gets
 * the result of the attempt that holds the claim.
 * @module
 */
import { neverCancelled } from "../core/cancellation.ts";
import { computeFingerprint } from "../core/fingerprint.ts";
import type { HeldClaim, Member } from "../control/commands.ts";
import {
  type Call,
  notRunReply,
  ranWithoutAnswerReply,
  type Reply,
  unknownReply,
} from "./call.ts";
import { attemptAt, type AttemptEnd, createReply } from "./attempt.ts";
import type { IngressParts } from "./parts.ts";
import type { RoutedCall } from "./routed_call.ts";
import { type KeyedBody, readKeyedBody } from "./keyed_body.ts";

/** Source in the ids of attempts that are numbered by their claims. */
export const CLAIM_SOURCE = "claims";

/** Dispatches requests that have an idempotency key. */
export interface KeyedCalls {
  run(routed: RoutedCall, key: string): Promise<Reply>;
}

/** Returns the name under which control stores a caller's key. */
export function claimKey(routed: RoutedCall, key: string): string {
  return `${routed.route.service}\n${routed.workspace}\n${key}`;
}

/** State of one keyed request across its attempts. */
interface Progress {
  body: KeyedBody;
  attempts: number;
  tried: Set<string>;
  /** Index of the last claim, whose attempt provably did not run. */
  replaces: number | undefined;
  lastCause: string;
}

/** Returns a hash that detects a different request with the same key. */
function requestHashOf({ method, path }: Call, { bytes }: KeyedBody): string {
  return computeFingerprint({ method, path, body: bytes });
}

/** Returns a call with the body that was read from it. */
function withBody(routed: RoutedCall, body: Call["body"]): RoutedCall {
  return { ...routed, call: { ...routed.call, body } };
}

/** Creates the dispatcher of keyed requests. */
export function createKeyedCalls(parts: IngressParts): KeyedCalls {
  const { timer, random, claims, exchanger, directory, recorder } = parts;

  function recordClaim(
    routed: RoutedCall,
    detail: { key: string; server: string; cause: string },
  ): void {
    recorder.record({
      kind: "claim",
      requestId: routed.call.requestId,
      service: routed.route.service,
      ...detail,
    });
  }

  /**
   * Runs a granted claim. Resolves with undefined if it provably did not run.
   */
  async function runClaimed(
    routed: RoutedCall,
    claim: { key: string; index: number; member: Member; progress: Progress },
  ): Promise<Reply | undefined> {
    const { key, index, member, progress } = claim;
    const { body } = progress;
    const stream = body.stream();
    progress.attempts++;
    // The attempt continues if the caller leaves, so that its outcome is known.
    const end: AttemptEnd = await attemptAt(parts, {
      routed: withBody(routed, stream ?? body.bytes),
      stream,
      member,
      id: { source: CLAIM_SOURCE, order: index },
      suspect: false,
      signal: neverCancelled,
    });
    if (end.kind === "answer") {
      claims.settle({ key, claim: index, outcome: "ran" });
      const { close } = end.received;
      if (close) {
        routed.call.signal.onCancel(close);
      }
      return createReply(end, progress.attempts);
    }
    if (end.kind === "unknown") {
      return unknownReply(end.cause, progress.attempts);
    }
    progress.replaces = index;
    progress.lastCause = end.cause;
    progress.tried.add(member.server);
    return undefined;
  }

  /**
   * Gets the result of a claim that another submission holds. Resolves with
   * undefined if its attempt was fenced before it started.
   */
  async function followClaim(
    routed: RoutedCall,
    claim: { held: HeldClaim; progress: Progress },
  ): Promise<Reply | undefined> {
    const { held, progress } = claim;
    const target = {
      address: held.address,
      attempt: { source: CLAIM_SOURCE, order: held.claim },
      incarnation: held.incarnation,
      deadlineAt: routed.deadlineAt,
      signal: routed.call.signal,
    };
    const state = await exchanger.fence(target);
    if (state === "fenced") {
      progress.replaces = held.claim;
      return undefined;
    }
    if (state === "running" || state === "finished" || state === "failed") {
      const end = await exchanger.resume(target);
      if (end.kind === "answer") {
        const { server } = held;
        const { answer, body, cut } = end;
        return {
          status: answer.status,
          headers: answer.headers,
          body,
          cut,
          outcome: "ran",
          reason: "",
          attempts: progress.attempts,
          server,
        };
      }
      if (end.kind === "failed" && end.outcome === "ran") {
        return ranWithoutAnswerReply(progress.attempts);
      }
    }
    if (held.outcome === "ran") {
      return ranWithoutAnswerReply(progress.attempts);
    }
    const cause = `an earlier submission at ${held.server}: ${state}`;
    return unknownReply(cause, progress.attempts);
  }

  async function claimAndRun(
    routed: RoutedCall,
    keyed: { key: string; requestHash: string; progress: Progress },
  ): Promise<Reply | undefined> {
    const { key, requestHash, progress } = keyed;
    const member = parts.choose(routed, progress.tried);
    if (!member) {
      const reason = progress.tried.size > 0
        ? "overloaded"
        : "no_backend_server";
      return notRunReply(reason, { attempts: progress.attempts });
    }
    const result = await claims.claim({
      key,
      requestHash,
      claimant: `${parts.incarnation} ${random.identifier()}`,
      server: member.server,
      address: member.address,
      incarnation: member.incarnation,
      replaces: progress.replaces,
    }, routed.deadlineAt);
    switch (result.kind) {
      case "granted":
        recordClaim(routed, {
          key,
          server: member.server,
          cause: `claim ${result.claim} granted`,
        });
        return await runClaimed(routed, {
          key,
          index: result.claim,
          member,
          progress,
        });
      case "held": {
        const { held } = result;
        recordClaim(routed, {
          key,
          server: held.server,
          cause: `claim ${held.claim} is held`,
        });
        if (held.requestHash !== requestHash) {
          return notRunReply("key_reused", { attempts: progress.attempts });
        }
        return await followClaim(routed, { held, progress });
      }
      case "full":
      case "unavailable":
        return notRunReply("no_quorum", { attempts: progress.attempts });
    }
  }

  return {
    async run(routed, callerKey) {
      const { max_body_bytes: maxBytes } = routed.settings;
      const body = await readKeyedBody(routed.call, maxBytes);
      if (!body) {
        return notRunReply("body_too_large");
      }
      const key = claimKey(routed, callerKey);
      const requestHash = requestHashOf(routed.call, body);
      const progress: Progress = {
        body,
        attempts: 0,
        tried: new Set(),
        replaces: undefined,
        lastCause: "",
      };
      const maxAttempts = directory.global?.limits.retry.max_attempts ?? 1;
      let reply: Reply | undefined;
      while (!reply && progress.attempts < maxAttempts) {
        if (timer.now() >= routed.deadlineAt) {
          break;
        }
        reply = await claimAndRun(routed, { key, requestHash, progress });
      }
      const { replaces, attempts, lastCause } = progress;
      if (replaces !== undefined && reply?.outcome !== "ran") {
        claims.settle({ key, claim: replaces, outcome: "not_run" });
      }
      return reply ?? {
        ...notRunReply("overloaded", { attempts }),
        reason: lastCause || "no_time",
      };
    },
  };
}
