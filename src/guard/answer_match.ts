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
  /** Whether the answer proves that its request did not run. */
  notRun: boolean;
  /** Whether the server names the request in each answer to one. */
  namesRequests: boolean;
  /** Whether the connection has carried an earlier request. */
  reused: boolean;
}

/** Returns why an answer does not belong to its request, if that is known. */
export function findMismatch(answer: AwaitedAnswer): string | undefined {
  const { requestId, named, notRun, namesRequests, reused } = answer;
  if (named !== undefined) {
    return named === requestId ? undefined : `an answer to request ${named}`;
  }
  // A connection on which a request was refused carries no other request, so a
  // refusal without a name cannot be an earlier one.
  const mustName = requestId !== "" && namesRequests && reused && !notRun;
  return mustName ? "an answer to no request, on a kept connection" : undefined;
}
