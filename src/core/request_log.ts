/**
 * Log lines about requests, at a limited rate. Successful requests are sampled
 * by request id, so that all processes log the same requests. Failures are all
 * logged, up to the rate limit. Failures that are frequent under load have a
 * lower rate limit of their own, so that they do not displace rare ones.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { fnvHash } from "./digest.ts";
import { createRateLimitedLog } from "./log_limit.ts";
import type { Logger, LogValue } from "./logger.ts";

/** Logs decisions about requests. */
export interface RequestLog {
  /** Logs a rare failure of a request. */
  logFailure(event: string, request: string, fields: Fields): void;
  /**
   * Logs a failure that is frequent under load, such as a refusal or a caller
   * that disconnected. One request in `SELECTED_PERIOD` is selected by its id
   * and counts against a rate limit of its own, so that all processes log
   * failures of the same requests.
   */
  logFrequentFailure(
    event: string,
    request: string,
    fields: () => Fields,
  ): void;
  /** Logs a success if the request is in the sample. */
  logSample(event: string, request: string, fields: () => Fields): void;
}

type Fields = Record<string, LogValue>;

/** Limit of each request log for rare failures and sampled successes. */
const LINES_PER_S = 20;
/** Limit of each request log for frequent failures of unselected requests. */
const UNSELECTED_LINES_PER_S = 4;
/** Limit of each request log for frequent failures of selected requests. */
const SELECTED_LINES_PER_S = 8;
/** One request in `SELECTED_PERIOD` is selected, the same in all processes. */
const SELECTED_PERIOD = 8;
/** One request in `SAMPLE_PERIOD` is in the sample. */
const SAMPLE_PERIOD = 128;

/** Whether a request is one in `period`; the same ones in all processes. */
function isSelected(request: string, period: number): boolean {
  return fnvHash(request) % period === 0;
}

/** Whether a request is in the sample, which is the same in all processes. */
export function isSampled(request: string): boolean {
  return isSelected(request, SAMPLE_PERIOD);
}

/** Creates a log of requests. */
export function createRequestLog(
  options: { logger: Logger; timer: Timer },
): RequestLog {
  const log = createRateLimitedLog({ ...options, perSecond: LINES_PER_S });
  const unselected = createRateLimitedLog({
    ...options,
    perSecond: UNSELECTED_LINES_PER_S,
  });
  const selected = createRateLimitedLog({
    ...options,
    perSecond: SELECTED_LINES_PER_S,
  });
  return {
    logFailure: (event, request, fields) =>
      log.write(event, { request, ...fields }),
    logFrequentFailure(event, request, fields) {
      const limitedLog = isSelected(request, SELECTED_PERIOD)
        ? selected
        : unselected;
      limitedLog.writeLazy(event, () => ({ request, ...fields() }));
    },
    logSample(event, request, fields) {
      if (isSampled(request)) {
        log.write(event, { request, ...fields() });
      }
    },
  };
}
