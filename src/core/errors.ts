/**
 * Errors that name the step that failed and the peer it concerned.
 * @module
 */

/** An error with the step that failed and the peer it concerned. */
export class StepError extends Error {
  /** Short name of the step, for example `channel.send`. */
  readonly step: string;
  /** IP address and port of the peer, or `local`. */
  readonly peer: string;

  constructor(
    step: string,
    message: string,
    options: { peer?: string; cause?: unknown } = {},
  ) {
    super(message, { cause: options.cause });
    this.name = "StepError";
    this.step = step;
    this.peer = options.peer ?? "local";
  }
}

/** A wait that reached its timeout. */
export class TimeoutError extends StepError {
  constructor(step: string, peer: string, timeoutMs: number) {
    super(step, `no progress within ${timeoutMs} ms`, { peer });
    this.name = "TimeoutError";
  }
}

/**
 * A failed operation on the disk. After a failed write, later writes are not
 * reliable either.
 */
export class DiskError extends StepError {
  constructor(step: string, path: string, cause: unknown) {
    super(step, `${path}: ${errorMessage(cause)}`, { cause });
    this.name = "DiskError";
  }
}

/** Stored data with a wrong checksum or an invalid structure. */
export class CorruptionError extends StepError {
  constructor(step: string, message: string) {
    super(step, message);
    this.name = "CorruptionError";
  }
}

/** Returns the message of any thrown value. */
export function errorMessage(error: unknown): string {
  if (error instanceof Error) {
    return error.message;
  }
  return String(error);
}

/** Returns the fields with which a log event describes an error. */
export function errorFields(error: unknown): Record<string, string> {
  if (error instanceof StepError) {
    return { step: error.step, peer: error.peer, error: error.message };
  }
  return { error: errorMessage(error) };
}
