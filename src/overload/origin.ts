/**
 * Determines from what an ingress knows of a request whether it goes before new
 * requests of its rank under overload: calls that backend servers make for
 * requests that they run, and callers that come back as they were told.
 * @module
 */

/** What an ingress knows of the origin of a request. */
export interface Origin {
  /** Whether the site serves requests without a key on routes that need one. */
  servesKeyless: boolean;
  /** Whether the request belongs to no workspace. */
  hasNoWorkspace: boolean;
  /** Whether the route needs no key, so that any caller may send none. */
  isPublic: boolean;
}

/** Time spent by a caller that was told to come back, at least, in ms. */
const MIN_RETURN_MS = 50;

/**
 * Whether a backend server makes the request for one that it runs. Such calls
 * carry no key; a site that serves them says so in its configuration. Without
 * that, they can't be told from new requests.
 */
export function isForRunning(origin: Origin): boolean {
  return origin.servesKeyless && origin.hasNoWorkspace && !origin.isPublic;
}

/**
 * Whether a caller that has spent a time comes back as it was told. One that
 * sends its request again at once does not.
 */
export function isReturning(spentMs: number): boolean {
  return spentMs >= MIN_RETURN_MS;
}
