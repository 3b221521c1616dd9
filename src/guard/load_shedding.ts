/**
 * Whether a guard turns away a request that could run here, since it would run
 * better elsewhere.
 *
 * Answers a load that moves between VMs in tens of milliseconds: a choice made
 * at the ingress is older than that, while the guard knows the present state.
 * @module
 */
import type { RefusalReason } from "../network/frames.ts";

/** What a guard knows at the moment of the decision. */
export interface Moment {
  /** Time that work takes at present, as a multiple of the usual. */
  slowness: number;
  /** Age of that figure in milliseconds. */
  reportAgeMs: number;
  /** Time that the request will probably wait here, in milliseconds. */
  waitMs: number;
  /**
   * Time that it can wait and still be answered within its objective, in
   * milliseconds; infinite without an objective.
   */
  slackMs: number;
  /** Share of recent requests that the server failed or turned away. */
  failingShare: number;
}

/** Multiple of the usual time from which a server counts as slow. */
const SLOW = 1.8;
/** Age past which a report of slowness says nothing of the present, in ms. */
export const REPORT_STALE_MS = 400;
/** Share of failures from which another server is the better place. */
const FAILING_SHARE = 0.3;

/** Wait that is worth less than asking another guard, in milliseconds. */
const SHORT_WAIT_MS = 15;

/** Whether work takes so much longer than usual that it matters. */
export function isSlow(slowness: number): boolean {
  return slowness >= SLOW;
}

/** Returns why a request had better go elsewhere, if so. */
export function sheddingReason(moment: Moment): RefusalReason | undefined {
  const { slowness, reportAgeMs, waitMs, slackMs, failingShare } = moment;
  if (failingShare > FAILING_SHARE) {
    return "failing";
  }
  if (isSlow(slowness) && reportAgeMs <= REPORT_STALE_MS) {
    return "slow";
  }
  const bearableMs = Math.min(SHORT_WAIT_MS, Math.max(0, slackMs));
  return waitMs > bearableMs ? "busy" : undefined;
}

/** Whether a refusal only says that elsewhere may be better. */
export function isTurnedAway(reason: string): boolean {
  return reason === "slow" || reason === "busy" || reason === "failing";
}
