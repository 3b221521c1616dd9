/**
 * Notifies the senders of attempts that started on a server after it had become
 * slow, but before its guard knew. An attempt runs at the speed that the server
 * had at its start, so a second attempt that is sent to another server at once
 * ends first.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { isSlow } from "./turn_away.ts";

/** Tracks the running attempts of one server. */
export interface SlowNotice {
  /**
   * Tracks an attempt that starts now, until the returned function is called.
   * Calls `notify` if a report shows that the server was slow at the start.
   */
  begin(notify: () => void): () => void;
  /** Applies the slowness that the server has just reported. */
  report(slowness: number): void;
}

interface RunningAttempt {
  startedAt: number;
  notify: () => void;
}

/** Creates a tracker without attempts. */
export function createSlowNotice(timer: Timer): SlowNotice {
  const running = new Set<RunningAttempt>();
  let lastFastReportAt = -Infinity;
  let slow = false;

  return {
    begin(notify) {
      const attempt = { startedAt: timer.now(), notify };
      running.add(attempt);
      return () => running.delete(attempt);
    },
    report(slowness) {
      const becameSlow = isSlow(slowness) && !slow;
      slow = isSlow(slowness);
      if (becameSlow) {
        // An attempt that started before the last report of usual speed
        // started on a fast server.
        const affected = [...running].filter(({ startedAt }) =>
          startedAt >= lastFastReportAt
        );
        affected.forEach(({ notify }) => notify());
      }
      if (!slow) {
        lastFastReportAt = timer.now();
      }
    },
  };
}
