/**
 * Bounds how many lines a busy process logs. What is left out is counted in a
 * line of its own, so that a reader knows of it.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { Logger, LogValue } from "./logger.ts";

/** Logs events up to a rate. */
export interface LimitedLog {
  /** Logs an event, or counts it as left out. */
  info(event: string, fields: Record<string, LogValue>): void;
  /** The same, with fields that are made only for a line that is written. */
  infoOf(event: string, fields: () => Record<string, LogValue>): void;
}

const WINDOW_MS = 1_000;

/** Creates a log that writes at most `perSecond` lines in a second. */
export function createLimitedLog(
  options: { logger: Logger; timer: Timer; perSecond: number },
): LimitedLog {
  const { logger, timer, perSecond } = options;
  let windowAt = timer.now();
  let written = 0;
  let leftOut = 0;

  function turnWindow(): void {
    if (timer.now() - windowAt < WINDOW_MS) {
      return;
    }
    if (leftOut > 0) {
      logger.info("log.left_out", { lines: leftOut });
    }
    windowAt = timer.now();
    written = 0;
    leftOut = 0;
  }

  function infoOf(
    event: string,
    fields: () => Record<string, LogValue>,
  ): void {
    turnWindow();
    if (written >= perSecond) {
      leftOut++;
      return;
    }
    written++;
    logger.info(event, fields());
  }

  return {
    info: (event, fields) => infoOf(event, () => fields),
    infoOf,
  };
}
