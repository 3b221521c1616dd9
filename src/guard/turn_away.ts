/**
 * Decides whether a guard turns away a request that could run here, because
 * another server would answer it sooner or more reliably.
 *
 * Load moves between VMs within tens of milliseconds. The ingress chose the
 * server from older data, while the guard knows its server's present state.
 * @module
 */
import type { RefusalReason } from "../network/frames.ts";

/** State of the guard and of the request at the time of the decision. */
export interface TurnAwayInputs {
  /** Present latency of the server, as a multiple of the usual latency. */
  slowness: number;
  /** Age of the report that gave `slowness`, in milliseconds. */
  reportAgeMs: number;
  /** Expected wait of the request at this guard, in milliseconds. */
  waitMs: number;
  /**
   * Time for which the request can wait and still meet its objective, in
   * milliseconds; infinite without an objective.
   */
  slackMs: number;
  /** Share of recent requests that the server failed or refused, 0 to 1. */
  failureRatio: number;
}

/** Multiple of the usual latency from which a server counts as slow. */
const SLOW_FACTOR = 1.8;
/** Age past which a report of slowness is ignored, in ms. */
export const REPORT_STALE_MS = 400;
/** Share of failures above which requests are turned away. */
const MAX_FAILURE_RATIO = 0.3;

/** Wait that costs less than asking another guard, in milliseconds. */
const TOLERABLE_WAIT_MS = 15;

/** Whether a server counts as slow. */
export function isSlow(slowness: number): boolean {
  return slowness >= SLOW_FACTOR;
}

/** Returns why a request is turned away, or `undefined` if it is not. */
export function findTurnAwayReason(
  inputs: TurnAwayInputs,
): RefusalReason | undefined {
  const { slowness, reportAgeMs, waitMs, slackMs, failureRatio } = inputs;
  if (failureRatio > MAX_FAILURE_RATIO) {
    return "failing";
  }
  if (isSlow(slowness) && reportAgeMs <= REPORT_STALE_MS) {
    return "slow";
  }
  const tolerableMs = Math.min(TOLERABLE_WAIT_MS, Math.max(0, slackMs));
  return waitMs > tolerableMs ? "busy" : undefined;
}

/**
 * Whether a refusal with this reason only means that another server may be
 * better.
 */
export function isTurnedAway(reason: string): boolean {
  return reason === "slow" || reason === "busy" || reason === "failing";
}
