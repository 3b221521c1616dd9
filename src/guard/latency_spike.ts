/**
 * Decides whether a request should wait until a latency spike of its server is
 * over.
 *
 * This matters when every server is slow or full. A request runs at the speed
 * that the server had at its start, and latency spikes of shared VMs are short.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { isSlow, REPORT_STALE_MS } from "./turn_away.ts";

/** Latency spikes of one server. */
export interface LatencySpike {
  /** Applies the slowness that the server has just reported. */
  report(slowness: number): void;
  /**
   * Returns the time for which a request with this usual latency should wait,
   * in milliseconds; 0 if it ends sooner when it starts now.
   */
  holdMs(usualMs: number): number;
}

/** Shortest expected remaining duration of a spike, in milliseconds. */
const MIN_EXPECTED_SPIKE_MS = 100;

/** Creates the state for a server that has not reported yet. */
export function createLatencySpike(timer: Timer): LatencySpike {
  let slowness = 1;
  let reportedAt = -Infinity;
  let slowSince = -Infinity;

  return {
    report(next) {
      if (isSlow(next) && !isSlow(slowness)) {
        slowSince = timer.now();
      }
      slowness = next;
      reportedAt = timer.now();
    },
    holdMs(usualMs) {
      const fresh = timer.now() - reportedAt <= REPORT_STALE_MS;
      if (!fresh || !isSlow(slowness)) {
        return 0;
      }
      // The longer a spike has lasted, the longer it is likely to continue.
      const expectedMs = Math.max(
        MIN_EXPECTED_SPIKE_MS,
        timer.now() - slowSince,
      );
      return (slowness - 1) * usualMs > expectedMs ? expectedMs : 0;
    },
  };
}
