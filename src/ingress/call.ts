/**
 * A caller's request and the reply to it, free of any HTTP library.
 * @module
 */
import type { Cancellation } from "../core/cancellation.ts";
import type { HeaderList } from "../core/headers.ts";
import type { Outcome, RefusalReason } from "../network/frames.ts";

/** A caller's request. */
export interface Call {
  requestId: string;
  method: string;
  /** Host that the caller names; empty if it names none. */
  host: string;
  /** Path with query. */
  path: string;
  /** Longest time that the caller waits, in milliseconds. */
  timeoutMs: number | undefined;
  /** Monotonic time at which it arrived; by default when it is handled. */
  arrivedAt?: number;
  /** Headers that the backend server gets. */
  headers: HeaderList;
  /** Whole body, or a stream of a longer one. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
  /** Length that the caller declared, if any, in bytes. */
  bodyLength: number | undefined;
  /** Cancelled when the caller leaves. */
  signal: Cancellation;
}

/** The reply to a caller. */
export interface Reply {
  status: number;
  headers: HeaderList;
  /** Whole body, or a stream that throws when it is cut. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
  /** What is known of the request; never more than is certain. */
  outcome: Outcome;
  /** Why there is no answer of a backend server; else empty. */
  reason: string;
  /** Time after which a refused request may find a place, in milliseconds. */
  retryAfterMs?: number;
  attempts: number;
  /** Backend server that answered; else empty. */
  server: string;
  /** The attempts that came before, each with its server and its end. */
  trail?: readonly string[];
}

const STATUS_OF_REASON: Partial<Record<RefusalReason, number>> = {
  no_route: 404,
  body_too_large: 413,
  key_required: 400,
  key_reused: 422,
  quarantined: 422,
  no_time: 504,
};
const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

function textBody(text: string): Uint8Array {
  return new TextEncoder().encode(text + "\n");
}

/** Creates a reply that says truthfully that nothing ran. */
export function notRunReply(
  reason: RefusalReason,
  options: { attempts: number; retryAfterMs?: number } = { attempts: 0 },
): Reply {
  const status = STATUS_OF_REASON[reason] ?? UNAVAILABLE;
  const headers: HeaderList = [["content-type", "text/plain"]];
  if (status === UNAVAILABLE) {
    const seconds = Math.ceil((options.retryAfterMs ?? 1_000) / 1_000);
    headers.push(["retry-after", String(seconds)]);
  }
  return {
    status,
    headers,
    body: textBody(`not run: ${reason}`),
    outcome: "not_run",
    reason,
    retryAfterMs: options.retryAfterMs,
    attempts: options.attempts,
    server: "",
  };
}

/** Creates a reply that says that nobody can tell whether the request ran. */
export function unknownReply(cause: string, attempts: number): Reply {
  return {
    status: BAD_GATEWAY,
    headers: [["content-type", "text/plain"]],
    body: textBody(`unknown whether it ran: ${cause}`),
    outcome: "unknown",
    reason: cause,
    attempts,
    server: "",
  };
}

/** Creates a reply for a request whose time ran out while it may run. */
export function timeUpReply(cause: string, attempts: number): Reply {
  return { ...unknownReply(cause, attempts), status: GATEWAY_TIMEOUT };
}

/** Creates a reply for a request that ran, but whose answer is gone. */
export function ranWithoutAnswerReply(attempts: number): Reply {
  return {
    status: BAD_GATEWAY,
    headers: [["content-type", "text/plain"]],
    body: textBody("ran, but its answer is no longer kept"),
    outcome: "ran",
    reason: "answer not kept",
    attempts,
    server: "",
  };
}
