/**
 * The interface to the backend server on the same VM.
 * @module
 */
import type { Cancellation } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import type { HeaderList } from "../core/headers.ts";

/** A request for the backend server. */
export interface BackendRequest {
  method: string;
  /** Path with query. */
  path: string;
  headers: HeaderList;
  body: Uint8Array | AsyncIterable<Uint8Array> | undefined;
  /** Longest time until the answer's head, in milliseconds. */
  timeoutMs: number;
  /** Cancels the request. */
  signal: Cancellation;
}

/** The answer of the backend server. */
export interface BackendAnswer {
  status: number;
  headers: HeaderList;
  /** A whole body, or a stream that throws `BackendError` when it is cut. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
}

/**
 * How a request failed. Only after `connect` is it certain that nothing ran.
 */
export type BackendFailure = "connect" | "reset" | "timeout" | "aborted";

/** A request to the backend server failed. */
export class BackendError extends StepError {
  /** How it failed. */
  readonly failure: BackendFailure;

  constructor(
    failure: BackendFailure,
    options: { peer: string; message: string; cause?: unknown },
  ) {
    super(`backend.${failure}`, options.message, options);
    this.failure = failure;
  }
}

/** Sends requests to one backend server. */
export interface Backend {
  /** Sends a request; rejects with `BackendError`. */
  send(request: BackendRequest): Promise<BackendAnswer>;
  /** Closes idle connections, and the others as they become idle. */
  close(): Promise<void>;
}

/** Creates a {@link Backend} for an announced address. */
export type BackendFactory = (options: {
  address: string;
  connections: number;
  connectTimeoutMs: number;
}) => Backend;
