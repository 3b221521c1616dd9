/**
 * Limits the rate of log lines. The number of suppressed lines is logged in a
 * line of its own.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { Logger, LogValue } from "./logger.ts";

/** A log with a limited rate of lines. */
export interface RateLimitedLog {
  /** Logs an event, or counts it as suppressed. */
  info(event: string, fields: Record<string, LogValue>): void;
  /** Does the same, but computes the fields only if the line is written. */
  infoLazy(event: string, fields: () => Record<string, LogValue>): void;
}

const WINDOW_MS = 1_000;

/** Creates a log that writes at most `perSecond` lines per second. */
export function createRateLimitedLog(
  options: { logger: Logger; timer: Timer; perSecond: number },
): RateLimitedLog {
  const { logger, timer, perSecond } = options;
  let windowStart = timer.now();
  let written = 0;
  let suppressed = 0;

  function startWindowIfDue(): void {
    if (timer.now() - windowStart < WINDOW_MS) {
      return;
    }
    if (suppressed > 0) {
      logger.info("log.left_out", { lines: suppressed });
    }
    windowStart = timer.now();
    written = 0;
    suppressed = 0;
  }

  function infoLazy(
    event: string,
    fields: () => Record<string, LogValue>,
  ): void {
    startWindowIfDue();
    if (written >= perSecond) {
      suppressed++;
      return;
    }
    written++;
    logger.info(event, fields());
  }

  return {
    info: (event, fields) => infoLazy(event, () => fields),
    infoLazy,
  };
}
