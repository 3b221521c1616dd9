/**
 * Requests a new load report from the backend server when an admission decision
 * finds the last one stale, or while attempts are queued. No report is
 * requested while answers carry fresh ones, or while the guard is idle.
 * @module
 */
import type { Subscription, Timer } from "../time/timer.ts";

/** Options of {@link createReportRefresh}. */
export interface ReportRefreshOptions {
  timer: Timer;
  /** Age of the last report in ms; infinite if none was received. */
  ageMs: () => number;
  /** Number of attempts queued at the guard. */
  queued: () => number;
  /** Sends a health check, if the rate limit of health checks allows it. */
  requestReport: () => Promise<void>;
}

/** Requests load reports when they are stale. */
export interface ReportRefresh {
  /** Requests a report if the last one is stale. */
  ensureFresh(): void;
  stop(): void;
}

const MAX_FRESH_AGE_MS = 35;
/** Interval of checks for a stale report while attempts are queued. */
const CHECK_INTERVAL_MS = 20;

/** Creates a refresh; it requests nothing until `ensureFresh` is called. */
export function createReportRefresh(
  options: ReportRefreshOptions,
): ReportRefresh {
  const { timer, ageMs, queued, requestReport } = options;
  let nextCheck: Subscription | undefined;
  let requesting = false;

  async function requestOnce(): Promise<void> {
    if (requesting) {
      return;
    }
    requesting = true;
    try {
      await requestReport();
    } finally {
      requesting = false;
    }
  }

  function ensureFresh(): void {
    const age = ageMs();
    if (age > MAX_FRESH_AGE_MS && Number.isFinite(age)) {
      void requestOnce();
    }
    if (!nextCheck && queued() > 0) {
      nextCheck = timer.after(CHECK_INTERVAL_MS, () => {
        nextCheck = undefined;
        ensureFresh();
      });
    }
  }

  return {
    ensureFresh,
    stop: () => nextCheck?.cancel(),
  };
}
