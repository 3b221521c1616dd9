/**
 * Limits the rate of log lines. The number of suppressed lines is logged in a
 * line of its own.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { Logger, LogValue } from "./logger.ts";

/** A log with a limited rate of lines, which all have the same level. */
export interface RateLimitedLog {
  /** Logs an event, or counts it as suppressed. */
  write(event: string, fields: Record<string, LogValue>): void;
  /** Does the same, but computes the fields only if the line is written. */
  writeLazy(event: string, fields: () => Record<string, LogValue>): void;
}

const WINDOW_MS = 1_000;

/** Options of {@link createRateLimitedLog}. */
export interface RateLimitedLogOptions {
  logger: Logger;
  timer: Timer;
  perSecond: number;
  /** Level of the lines; `info` by default. */
  level?: "info" | "warn";
}

/** Creates a log that writes at most `perSecond` lines per second. */
export function createRateLimitedLog(
  options: RateLimitedLogOptions,
): RateLimitedLog {
  const { logger, timer, perSecond, level = "info" } = options;
  let windowStart = timer.now();
  let written = 0;
  let suppressed = 0;

  function startWindowIfDue(): void {
    if (timer.now() - windowStart < WINDOW_MS) {
      return;
    }
    if (suppressed > 0) {
      logger[level]("log.left_out", { lines: suppressed });
    }
    windowStart = timer.now();
    written = 0;
    suppressed = 0;
  }

  function writeLazy(
    event: string,
    fields: () => Record<string, LogValue>,
  ): void {
    startWindowIfDue();
    if (written >= perSecond) {
      suppressed++;
      return;
    }
    written++;
    logger[level](event, fields());
  }

  return {
    write: (event, fields) => writeLazy(event, () => fields),
    writeLazy,
  };
}
