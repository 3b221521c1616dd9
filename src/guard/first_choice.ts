/**
 * Whether a server is so well off that its own VM's requests need look no
 * further.
 *
 * Answers a load that leaves a VM little processor time: asking elsewhere for a
 * slightly better place takes more of it than the place is worth.
 * @module
 */
import { isSlow } from "./load_shedding.ts";

/** What a guard knows of its server at the moment of the decision. */
export interface ServerMoment {
  inFlight: number;
  queued: number;
  /** Requests that it may run at once. */
  allowed: number;
  /** What the server last reported, if it reports at all. */
  report: { slowness: number; ageMs: number } | undefined;
  /** Share of recent requests that the server failed or turned away. */
  failingShare: number;
}

/** Share of its places up to which a server is free enough. */
const FREE_SHARE = 0.7;
/** Age up to which a report tells that a server is not slow, in ms. */
const FRESH_MS = 60;
/** Share of failures from which others are asked. */
const FAILING_SHARE = 0.2;

/** Whether a request may begin here without a look at other servers. */
export function isFirstChoice(moment: ServerMoment): boolean {
  const { inFlight, queued, allowed, report, failingShare } = moment;
  // Of one that does not report, nobody knows in time that it is slow.
  return report !== undefined && report.ageMs <= FRESH_MS &&
    !isSlow(report.slowness) && failingShare < FAILING_SHARE &&
    queued === 0 && inFlight + 1 <= allowed * FREE_SHARE;
}
