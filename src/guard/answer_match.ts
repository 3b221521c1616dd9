/**
 * Decides whether an answer belongs to the request that waits for it. A faulty
 * backend server writes an answer late or twice, and the client then reads it
 * where it expects the next answer on that connection.
 * @module
 */

/** An answer, and the request that waits for it. */
export interface AwaitedAnswer {
  /** Id of the request; empty for a health check, which has none. */
  requestId: string;
  /** Request that the answer names as its own, if it names one. */
  named: string | undefined;
}

/** Returns why an answer does not belong to its request, if that is known. */
export function findMismatch(
  { requestId, named }: AwaitedAnswer,
): string | undefined {
  if (named !== undefined && named !== requestId) {
    return `an answer to request ${named}`;
  }
  return undefined;
}
