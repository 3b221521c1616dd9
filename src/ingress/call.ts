/**
 * A caller's request and the reply to it, independent of any HTTP library.
 * @module
 */
import type { Cancellation } from "../core/cancellation.ts";
import type { HeaderList } from "../core/headers.ts";
import type { Outcome, RefusalReason } from "../network/frames.ts";

/** A caller's request. */
export interface Call {
  requestId: string;
  method: string;
  /** Host that the caller requests; empty if there is none. */
  host: string;
  /** Path, including the query. */
  path: string;
  /** Longest time that the caller waits for the reply. */
  timeoutMs: number | undefined;
  /** Monotonic time of arrival; defaults to the time at which it is handled. */
  arrivedAt?: number;
  /** Headers that are forwarded to the backend server. */
  headers: HeaderList;
  /** Complete body, or a stream for a longer one. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
  /** Body length in bytes that the caller declared, if any. */
  bodyLength: number | undefined;
  /** Cancelled when the caller disconnects. */
  signal: Cancellation;
}

/** The reply to a caller. */
export interface Reply {
  status: number;
  headers: HeaderList;
  /** Complete body, or a stream that throws if it is cut. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
  /** Cancelled when the rest of a stream will not come. */
  cut?: Cancellation;
  /** Whether the request ran, as far as that is certain. */
  outcome: Outcome;
  /** Reason why no backend server answered; empty if one did. */
  reason: string;
  /** Time after which a refused request should be retried. */
  retryAfterMs?: number;
  attempts: number;
  /**
   * Number of backend servers that ran the request or may have, if it is known.
   */
  arrivals?: number;
  /** Backend server that answered; empty if none did. */
  server: string;
  /** Servers of the attempts made, each with how its attempt ended. */
  trail?: readonly string[];
}

const STATUS_OF_REASON: Partial<Record<RefusalReason, number>> = {
  no_route: 404,
  body_too_large: 413,
  key_required: 400,
  key_reused: 422,
  quarantined: 422,
  no_time: 504,
  unknown_key: 401,
  over_quota: 429,
};
const TOO_MANY_REQUESTS = 429;
const UNAVAILABLE = 503;
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

function textBody(text: string): Uint8Array {
  return new TextEncoder().encode(text + "\n");
}

/** Creates the reply to a request that provably did not run. */
export function notRunReply(
  reason: RefusalReason,
  options: { attempts: number; retryAfterMs?: number } = { attempts: 0 },
): Reply {
  const status = STATUS_OF_REASON[reason] ?? UNAVAILABLE;
  const headers: HeaderList = [["content-type", "text/plain"]];
  if (status === UNAVAILABLE || status === TOO_MANY_REQUESTS) {
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

/** Creates the reply to a request that may or may not have run. */
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

/** Creates the reply to a request that may have run when its time was up. */
export function timeoutReply(cause: string, attempts: number): Reply {
  return { ...unknownReply(cause, attempts), status: GATEWAY_TIMEOUT };
}

/** Creates the reply to a request that ran, but whose answer is not kept. */
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
