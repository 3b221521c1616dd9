/**
 * Keeps the backend server's own report fresh where decisions need it: an
 * attempt has come, or work waits for a server to be fast again. While answers
 * bring reports, and at rest, nobody asks.
 * @module
 */
import type { Subscription, Timer } from "../time/timer.ts";

/** What is known of the report, and how a new one is asked for. */
export interface ReportRefreshOptions {
  timer: Timer;
  /** Age of the last report in ms; infinite if the server never reported. */
  ageMs: () => number;
  /** Attempts that wait at the guard. */
  queued: () => number;
  /** Asks the backend server, if the budget of health checks allows it. */
  ask: () => Promise<void>;
}

/** Keeps a report fresh. */
export interface ReportRefresh {
  /** A decision needs the report. */
  needed(): void;
  stop(): void;
}

/** Age up to which a report of load is fresh, in milliseconds. */
const FRESH_MS = 35;
/** Interval at which the age is looked at while attempts wait, in ms. */
const CHECK_MS = 20;

/** Creates a refresh that waits to be needed. */
export function createReportRefresh(
  options: ReportRefreshOptions,
): ReportRefresh {
  const { timer, ageMs, queued, ask } = options;
  let check: Subscription | undefined;
  let asking = false;

  async function askOnce(): Promise<void> {
    if (asking) {
      return;
    }
    asking = true;
    try {
      await ask();
    } finally {
      asking = false;
    }
  }

  function needed(): void {
    const age = ageMs();
    if (age > FRESH_MS && Number.isFinite(age)) {
      void askOnce();
    }
    if (!check && queued() > 0) {
      check = timer.after(CHECK_MS, () => {
        check = undefined;
        needed();
      });
    }
  }

  return {
    needed,
    stop: () => check?.cancel(),
  };
}
