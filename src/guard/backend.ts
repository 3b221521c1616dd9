/**
 * Interface to the backend server on the same VM.
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
  /** The caller's headers. */
  headers: HeaderList;
  body: Uint8Array | AsyncIterable<Uint8Array> | undefined;
  /** Identifies the request; empty for a health check. */
  requestId: string;
  /** Service on whose VM the request started; empty if there is none. */
  caller: string;
  /** Workspace that a key has proved, if any. */
  workspace?: string;
  /** Instance that is to run the request; empty if any instance may run it. */
  instance: string;
  /** Time until the request's deadline, in milliseconds. */
  timeLeftMs: number;
  /** Cancels the request. */
  signal: Cancellation;
}

/** Load report of a backend server. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
  /** Current duration of a request as a multiple of its usual duration. */
  slowness: number;
}

/** Metadata in the head of an answer, in addition to its status. */
export interface AnswerMetadata {
  /** Request that the answer names as its own, if it names one. */
  requestId?: string;
  /** Whether the backend server proves that it did not run the request. */
  notRun?: boolean;
  /** Why the answer cannot belong to the request. */
  defect?: string;
  /** Whether another instance than the expected one is at the address. */
  otherInstance?: boolean;
  /** Instance that answered. */
  instance?: string;
  /**
   * Time for which the server stays cold by its own account, in milliseconds.
   */
  coldMs?: number;
  /** Whether the server leaves and takes no more requests. */
  leaving?: boolean;
  /** Requests a second that the server takes, if it limits them at present. */
  requestsPerS?: number;
  report?: LoadReport;
}

/**
 * A body that is still being received; throws `BackendError` if it is cut off.
 */
export interface StreamingBody extends AsyncIterable<Uint8Array> {
  /**
   * Reads the body in one piece instead of in chunks; only set for a short
   * body.
   */
  readAll?(): Promise<Uint8Array>;
}

/** The answer of the backend server. */
export interface BackendAnswer {
  status: number;
  headers: HeaderList;
  /** The body; a streaming body must be read, or its request be cancelled. */
  body: Uint8Array | StreamingBody;
  metadata?: AnswerMetadata;
}

/**
 * How a request failed. Only `connect` proves that the request did not run.
 * `defective` means that the received bytes are no valid answer to the request.
 */
export type BackendFailure =
  | "connect"
  | "reset"
  | "timeout"
  | "aborted"
  | "defective";

/** A request to the backend server failed. */
export class BackendError extends StepError {
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
  /** Closes idle connections now and busy ones once they become idle. */
  close(): Promise<void>;
}

/** Creates a {@link Backend} for an announced address. */
export type BackendFactory = (options: {
  address: string;
  connections: number;
  connectTimeoutMs: number;
}) => Backend;
