/**
 * The HTTP headers that carry the product's metadata of a request, towards
 * callers and towards backend servers. A platform with header names of its own
 * implements its own dialects.
 * @module
 */
import {
  ATTEMPTS_HEADER,
  encodeHeaderValue,
  type HeaderList,
  headerValue,
  OUTCOME_HEADER,
  REASON_HEADER,
  REQUEST_ID_HEADER,
  SERVER_HEADER,
  TIMEOUT_HEADER,
  WORKSPACE_HEADER,
} from "../core/headers.ts";
import type { AnswerMetadata, BackendRequest } from "../guard/backend.ts";
import type { Reply } from "../ingress/call.ts";

/** Metadata that a caller sends with its request. */
export interface CallerMetadata {
  /** Identifies the request; the node generates one if there is none. */
  requestId: string | undefined;
  /** Longest time that the caller waits, in milliseconds. */
  timeoutMs: number | undefined;
  /** Headers that are forwarded unchanged. */
  headers: HeaderList;
}

/** Status and headers of a response to a caller. */
export interface ReplyHead {
  status: number;
  headers: HeaderList;
}

/** Converts between HTTP headers and the metadata of a caller's request. */
export interface CallerDialect {
  /** Reads the metadata from the headers of a caller's request. */
  read(headers: HeaderList): CallerMetadata;
  /** Returns status and headers of the response to a caller. */
  head(reply: Reply, requestId: string): ReplyHead;
}

/** Converts between HTTP headers and the metadata of a backend request. */
export interface BackendDialect {
  /** Whether servers name in each answer the request that they answer. */
  readonly namesRequests: boolean;
  /** Returns the headers that are sent to a backend server after the caller's. */
  requestHeaders(request: BackendRequest): HeaderList;
  /** Reads the metadata in the status and headers of a response. */
  readMetadata(
    answer: { status: number; headers: HeaderList },
    request: BackendRequest,
  ): AnswerMetadata;
}

const MAX_REASON_LENGTH = 200;

/** Replaces characters that a header value may not contain, and truncates. */
function sanitizeHeaderValue(text: string): string {
  return text.replace(/[^\x20-\x7e]/g, " ").slice(0, MAX_REASON_LENGTH);
}

/** The product's own headers towards callers. */
export class DefaultCallerDialect implements CallerDialect {
  read(headers: HeaderList): CallerMetadata {
    const requestId = headerValue(headers, REQUEST_ID_HEADER);
    const timeoutMs = Number(headerValue(headers, TIMEOUT_HEADER));
    return {
      requestId,
      timeoutMs: Number.isFinite(timeoutMs) && timeoutMs > 0
        ? timeoutMs
        : undefined,
      headers: headers.filter(([name]) =>
        name !== REQUEST_ID_HEADER && name !== WORKSPACE_HEADER
      ),
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
      headers.push([REASON_HEADER, sanitizeHeaderValue(reply.reason)]);
    }
    if (reply.server) {
      headers.push([SERVER_HEADER, reply.server]);
    }
    return { status: reply.status, headers };
  }
}

/** The product's own headers towards backend servers. */
export class DefaultBackendDialect implements BackendDialect {
  readonly namesRequests = false;

  requestHeaders(request: BackendRequest): HeaderList {
    const headers: HeaderList = [
      [TIMEOUT_HEADER, String(Math.floor(request.timeLeftMs))],
    ];
    if (request.requestId) {
      headers.push([REQUEST_ID_HEADER, request.requestId]);
    }
    if (request.workspace !== undefined) {
      headers.push([WORKSPACE_HEADER, encodeHeaderValue(request.workspace)]);
    }
    return headers;
  }

  readMetadata({ headers }: { headers: HeaderList }): AnswerMetadata {
    return { requestId: headerValue(headers, REQUEST_ID_HEADER) };
  }
}
