/**
 * Decides whether a request may start on the server of its own VM without a
 * comparison with other servers.
 *
 * On a VM with little processor time to spare, the comparison costs more than
 * a slightly better server gains.
 * @module
 */
import { isSlow } from "./turn_away.ts";

/** State of a guard's server at the time of the decision. */
export interface ServerState {
  inFlight: number;
  queued: number;
  /** Number of requests that the server may run at once. */
  allowed: number;
  /** Last load report of the server, if it sends any. */
  report: { slowness: number; ageMs: number } | undefined;
  /** Share of recent requests that the server failed or refused, 0 to 1. */
  failureRatio: number;
}

/** Share of the allowed requests, the new one included, that may run. */
const MAX_UTILIZATION = 0.7;
/** Age up to which a report proves that the server is not slow, in ms. */
const MAX_REPORT_AGE_MS = 60;
/** Share of failures from which other servers are considered. */
const MAX_FAILURE_RATIO = 0.2;

/** Whether a request may start here without considering other servers. */
export function isFirstChoice(server: ServerState): boolean {
  const { inFlight, queued, allowed, report, failureRatio } = server;
  // Without reports, the guard would learn too late that a server is slow.
  return report !== undefined && report.ageMs <= MAX_REPORT_AGE_MS &&
    !isSlow(report.slowness) && failureRatio < MAX_FAILURE_RATIO &&
    queued === 0 && inFlight + 1 <= allowed * MAX_UTILIZATION;
}
