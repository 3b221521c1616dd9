/**
 * Determines whether all backend servers for a request are known to be full or
 * slow, and which of them would start the request first.
 *
 * While the load exceeds the capacity of the fleet, asking one guard after
 * another finds no free server, and costs processor time when it is scarce. A
 * server without a recent report counts as having capacity.
 * @module
 */
import type { Candidate } from "../choosing/mod.ts";
import type { Random } from "../core/random.ts";
import { isSlow, REPORT_STALE_MS } from "../guard/turn_away.ts";

/** The server that would start a request first while all are full. */
export interface EarliestServer {
  server: string;
  /** Estimated wait before the server starts the request. */
  waitMs: number;
}

/** Age beyond which a report is no evidence that a server is full. */
const MAX_FULL_REPORT_AGE_MS = 100;
/** Upper bound of the wait attributed to a slow server. */
const MAX_SLOWNESS_WAIT_MS = 100;
/** Costs within this ratio of the lowest count as equal. */
const EQUAL_COST_RATIO = 1.05;
/** Weight of the squared failure rate in the cost. */
const FAILURE_WEIGHT = 20;

/** Returns whether the last report of a server is recent enough to use. */
export function hasUsableReport({ reportAgeMs }: Candidate): boolean {
  return reportAgeMs <= REPORT_STALE_MS;
}

/** Returns whether a fresh report shows that a request would have to wait. */
export function isReportedFull(candidate: Candidate): boolean {
  const { reportAgeMs, reportedInFlight, queued, allowed, slowness } =
    candidate;
  return reportAgeMs <= MAX_FULL_REPORT_AGE_MS &&
    (queued > 0 || reportedInFlight >= allowed || isSlow(slowness));
}

/** Estimates the wait at a server for a request of a usual duration. */
function estimateWaitMs(candidate: Candidate, usualWorkMs: number): number {
  const {
    ownInFlight,
    ownInFlightAtReport,
    reportedInFlight,
    queued,
    allowed,
  } = candidate;
  const sentSinceReport = Math.max(0, ownInFlight - ownInFlightAtReport);
  const excess = Math.max(
    0,
    reportedInFlight + queued + sentSinceReport + 1 - allowed,
  );
  const queueMs = excess * usualWorkMs / Math.max(0.5, allowed);
  const slownessMs = isSlow(candidate.slowness)
    ? Math.min(MAX_SLOWNESS_WAIT_MS, (candidate.slowness - 1) * usualWorkMs)
    : 0;
  return Math.max(queueMs, slownessMs);
}

/** Estimates the response time of a server, increased by its failure rate. */
function estimateCostMs(candidate: Candidate, usualWorkMs: number): number {
  const failurePenalty = 1 + FAILURE_WEIGHT * candidate.failureRate ** 2;
  return (estimateWaitMs(candidate, usualWorkMs) + usualWorkMs) *
    failurePenalty;
}

/** What the reports of all servers show together. */
export interface Reports {
  /** Whether there are servers, and all have a recent report. */
  allReported: boolean;
  /** The servers, if all are reported full. */
  full?: Candidate[];
}

/**
 * Reads the reports of servers until one shows that not all are reported. Most
 * reports are old at a service with many servers, so few of them are read.
 */
export function readReports(candidates: Iterable<Candidate>): Reports {
  const read: Candidate[] = [];
  let allFull = true;
  for (const candidate of candidates) {
    if (!hasUsableReport(candidate)) {
      return { allReported: false };
    }
    allFull &&= isReportedFull(candidate);
    read.push(candidate);
  }
  const allReported = read.length > 0;
  return allReported && allFull ? { allReported, full: read } : { allReported };
}

/** Returns the server with the lowest cost if all are reported full. */
export function findEarliestOfFull(
  candidates: readonly Candidate[],
  { usualWorkMs, random }: { usualWorkMs: () => number; random: Random },
): EarliestServer | undefined {
  if (candidates.length === 0 || !candidates.every(isReportedFull)) {
    return undefined;
  }
  const workMs = usualWorkMs();
  const costs = candidates.map((candidate) =>
    estimateCostMs(candidate, workMs)
  );
  const limit = Math.min(...costs) * EQUAL_COST_RATIO;
  const best = candidates.filter((_, index) => costs[index] <= limit);
  const chosen = best[random.integer(best.length)];
  return { server: chosen.server, waitMs: estimateWaitMs(chosen, workMs) };
}
