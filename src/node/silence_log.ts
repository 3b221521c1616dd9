/**
 * Counts and logs silences of guards. The finding and the lag distinguish a lost
 * guard from a stalled guard or a stalled node.
 * @module
 */
import { createRateLimitedLog } from "../core/log_limit.ts";
import type { Logger } from "../core/logger.ts";
import type { SilenceFinding } from "../ingress/attempt_recovery.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Timer } from "../time/timer.ts";

const MAX_LOG_LINES_PER_S = 5;

/** Creates a function that records a silence. */
export function createSilenceLog(
  { timer, logger, metrics }: {
    timer: Timer;
    logger: Logger;
    metrics: Metrics;
  },
): (silence: SilenceFinding) => void {
  const log = createRateLimitedLog({
    timer,
    logger,
    perSecond: MAX_LOG_LINES_PER_S,
  });

  return ({ finding, peer, requestId, silentMs, lateMs }) => {
    metrics.countBy("guard_silences", { name: "finding", value: finding });
    log.write("exchange.silent", {
      request: requestId,
      peer,
      finding,
      silent_ms: Math.round(silentMs),
      late_ms: Math.round(lateMs),
    });
  };
}
