/**
 * How HTTP names what the product gives meaning, towards callers and towards
 * backend servers. A platform with names of its own brings its own dialects.
 * @module
 */
import {
  ATTEMPTS_HEADER,
  type HeaderList,
  headerValue,
  OUTCOME_HEADER,
  REASON_HEADER,
  REQUEST_ID_HEADER,
  SERVER_HEADER,
  TIMEOUT_HEADER,
} from "../core/headers.ts";
import type { BackendRequest, BackendVerdict } from "../guard/backend.ts";
import type { Reply } from "../ingress/call.ts";

/** What a caller says of its request. */
export interface CallerNotes {
  /** Identifies the request; drawn at random if the caller names none. */
  requestId: string | undefined;
  /** Longest time that the caller waits, in milliseconds. */
  timeoutMs: number | undefined;
  /** The headers that are passed on as they are. */
  headers: HeaderList;
}

/** Status and headers of an answer to a caller. */
export interface ReplyHead {
  status: number;
  headers: HeaderList;
}

/** The HTTP that callers speak. */
export interface CallerDialect {
  /** Reads what a caller says of its request. */
  read(headers: HeaderList): CallerNotes;
  /** Returns the head of the answer to a caller. */
  head(reply: Reply, requestId: string): ReplyHead;
}

/** The HTTP that backend servers speak. */
export interface BackendDialect {
  /** Returns the headers that a backend server gets beside the caller's. */
  requestHeaders(request: BackendRequest): HeaderList;
  /** Judges what an answer says of its request, from its head. */
  judge(
    answer: { status: number; headers: HeaderList },
    request: BackendRequest,
  ): BackendVerdict;
}

const MAX_REASON_LENGTH = 200;

/** Header values may hold only visible characters. */
function headerText(text: string): string {
  return text.replace(/[^\x20-\x7e]/g, " ").slice(0, MAX_REASON_LENGTH);
}

/** The product's own HTTP towards callers. */
export class PlainCallerDialect implements CallerDialect {
  read(headers: HeaderList): CallerNotes {
    const requestId = headerValue(headers, REQUEST_ID_HEADER);
    const asked = Number(headerValue(headers, TIMEOUT_HEADER));
    return {
      requestId,
      timeoutMs: Number.isFinite(asked) && asked > 0 ? asked : undefined,
      headers: headers.filter(([name]) => name !== REQUEST_ID_HEADER),
    };
  }

  head(reply: Reply, requestId: string): ReplyHead {
    const headers: HeaderList = [
      ...reply.headers,
      [REQUEST_ID_HEADER, requestId],
      [OUTCOME_HEADER, reply.outcome],
      [ATTEMPTS_HEADER, String(reply.attempts)],
    ];
    if (reply.reason) {
      headers.push([REASON_HEADER, headerText(reply.reason)]);
    }
    if (reply.server) {
      headers.push([SERVER_HEADER, reply.server]);
    }
    return { status: reply.status, headers };
  }
}

/** The product's own HTTP towards backend servers. */
export class PlainBackendDialect implements BackendDialect {
  requestHeaders(request: BackendRequest): HeaderList {
    const headers: HeaderList = [
      [TIMEOUT_HEADER, String(Math.floor(request.timeLeftMs))],
    ];
    if (request.requestId) {
      headers.push([REQUEST_ID_HEADER, request.requestId]);
    }
    return headers;
  }

  judge(): BackendVerdict {
    return {};
  }
}
