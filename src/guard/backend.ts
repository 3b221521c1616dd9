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
  /** The caller's headers. */
  headers: HeaderList;
  body: Uint8Array | AsyncIterable<Uint8Array> | undefined;
  /** Identifies the request; empty for a health check. */
  requestId: string;
  /** Service on whose VM the request began; empty if there is none. */
  caller: string;
  /** Instance that the request is meant for; empty if any may run it. */
  instance: string;
  /** Time that is left for the request, in milliseconds. */
  timeLeftMs: number;
  /** Cancels the request. */
  signal: Cancellation;
}

/** Load of a backend server as it reports it itself. */
export interface ServerReport {
  running: number;
  waiting: number;
  slots: number;
  /** Time that work takes at present, as a multiple of the usual. */
  slowness: number;
}

/** What the head of an answer says beside its status. */
export interface BackendVerdict {
  /** The backend server proves that it did not run the request. */
  notRun?: boolean;
  /** Why this cannot be the answer to the request. */
  defect?: string;
  /** Another instance than the expected one is at the address. */
  otherInstance?: boolean;
  /** Instance that answered. */
  instance?: string;
  /** Time for which the server says that it stays cold, in milliseconds. */
  coldMs?: number;
  report?: ServerReport;
}

/** A body that still comes; it throws `BackendError` when it is cut. */
export interface ComingBody extends AsyncIterable<Uint8Array> {
  /** Reads it at once, in place of its parts; there if it is short. */
  whole?(): Promise<Uint8Array>;
}

/** The answer of the backend server. */
export interface BackendAnswer {
  status: number;
  headers: HeaderList;
  /** The body; one that still comes must be read, or its request cancelled. */
  body: Uint8Array | ComingBody;
  verdict?: BackendVerdict;
}

/**
 * How a request failed. Only after `connect` is it certain that nothing ran.
 * `defective`: what came is no answer to this request.
 */
export type BackendFailure =
  | "connect"
  | "reset"
  | "timeout"
  | "aborted"
  | "defective";

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
