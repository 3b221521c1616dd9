/**
 * How the tolerance of a workspace's limit is divided among the places that
 * admit requests, so that their sum stays within the limit and its tolerance in
 * any window, whichever of them are in contact.
 *
 * The load that this answers: in each window all nodes together may serve
 * `(rate * window + burst) * (1 + excess) + slack` requests of a workspace.
 * @module
 */

/** Rate limit of a workspace over all nodes. */
export interface WorkspaceLimit {
  /** Requests per second; 0 for no limit. */
  ratePerS: number;
  /** Requests beyond the rate that may come at once. */
  burst: number;
}

/** Tolerance of the limits of a site. */
export interface QuotaTolerance {
  windowMs: number;
  /** Tolerated excess over the limit, as a share of it. */
  excess: number;
  /** Tolerated excess over the limit, in requests. */
  slack: number;
}

/** Rate and capacity of a token bucket. */
export interface BucketSize {
  perMs: number;
  capacity: number;
}

/** What each place may admit. */
export interface QuotaBounds {
  /** Bounds what callers send, each request counted once. */
  sent: BucketSize;
  /** Bounds arrivals at backend servers, retries and hedges included. */
  arrived: BucketSize;
  /** Tokens with which the bucket of a new owner starts. */
  initial: number;
  /** Requests that all cut-off nodes together may admit at once. */
  cutOff: BucketSize;
}

// Shares of the tolerance; their sum is 1.
/** Share for retries and hedges, and for the jitter of callers. */
const ARRIVED_SHARE = 1 / 4;
/** Share with which the bucket of a new owner starts. */
const NEW_OWNER_SHARE = 1 / 8;
/** Share with which the buckets of all deputies together start. */
const DEPUTY_SHARE = 1 / 8;
/** Share that cut-off nodes admit before others take over for the owner. */
const CUT_OFF_SHARE = 3 / 8;
/** Share that cut-off nodes admit in each window. */
const CUT_OFF_REFILL_SHARE = 1 / 8;
/** Part of the share for arrivals that requests on their first send may use. */
const SENT_PART = 1 / 2;
const MS_PER_SECOND = 1_000;

/** Sum of all shares of the tolerance; it may not exceed 1. */
export const TOLERANCE_SHARES = ARRIVED_SHARE + NEW_OWNER_SHARE + DEPUTY_SHARE +
  CUT_OFF_SHARE + CUT_OFF_REFILL_SHARE;

/** Whether a limit limits anything. */
export function isLimited(
  limit: WorkspaceLimit | undefined,
): limit is WorkspaceLimit {
  return limit !== undefined && limit.ratePerS > 0;
}

/** Divides the limit and its tolerance. */
export function divideBounds(
  { ratePerS, burst }: WorkspaceLimit,
  { windowMs, excess, slack }: QuotaTolerance,
): QuotaBounds {
  const perMs = ratePerS / MS_PER_SECOND;
  const atOnce = Math.max(1, burst);
  const tolerance = excess * (perMs * windowMs + atOnce) + slack;

  function widened(share: number): BucketSize {
    return {
      perMs: perMs * (1 + excess * share),
      capacity: atOnce + (excess * atOnce + slack) * share,
    };
  }
  return {
    sent: widened(ARRIVED_SHARE * SENT_PART),
    arrived: widened(ARRIVED_SHARE),
    initial: tolerance * NEW_OWNER_SHARE,
    cutOff: {
      perMs: tolerance * CUT_OFF_REFILL_SHARE / windowMs,
      capacity: tolerance * CUT_OFF_SHARE,
    },
  };
}
