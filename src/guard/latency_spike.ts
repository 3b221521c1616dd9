/**
 * Whether work had better wait for a slow server to be fast again.
 *
 * Answers a load that finds every server slow or full at once: work keeps the
 * speed at which it begins, and slow spells of shared VMs are short.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { isSlow, REPORT_STALE_MS } from "./load_shedding.ts";

/** The slow spells of one server. */
export interface LatencySpike {
  /** The server has reported its present slowness. */
  report(slowness: number): void;
  /**
   * Time for which work that usually takes some time had better wait, as
   * expected, in milliseconds; 0 if it had better begin.
   */
  holdMs(usualMs: number): number;
}

/** Length that a spell is expected to have at least, in milliseconds. */
const EXPECTED_SPELL_MS = 100;

/** Creates the spells of a server that has reported nothing yet. */
export function createLatencySpike(timer: Timer): LatencySpike {
  let slowness = 1;
  let reportedAt = -Infinity;
  let since = -Infinity;

  return {
    report(next) {
      if (isSlow(next) && !isSlow(slowness)) {
        since = timer.now();
      }
      slowness = next;
      reportedAt = timer.now();
    },
    holdMs(usualMs) {
      const fresh = timer.now() - reportedAt <= REPORT_STALE_MS;
      if (!fresh || !isSlow(slowness)) {
        return 0;
      }
      // The longer a spell has lasted, the longer it is likely to go on.
      const expectedMs = Math.max(EXPECTED_SPELL_MS, timer.now() - since);
      return (slowness - 1) * usualMs > expectedMs ? expectedMs : 0;
    },
  };
}
