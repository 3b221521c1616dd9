/**
 * Lines about requests at a bounded rate: of what went well a sample, chosen by
 * the request's id so that all processes log the same requests; of the rest
 * each one, as far as the rate allows. What load makes common has a small rate
 * of its own, so that it displaces nothing rare.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { spreadOf } from "./digest.ts";
import { createLimitedLog } from "./log_limit.ts";
import type { Logger, LogValue } from "./logger.ts";

/** Logs decisions about requests. */
export interface RequestLog {
  /** Something did not go as wished. */
  note(event: string, request: string, fields: Fields): void;
  /**
   * The same, where load makes it common: refusals, callers that left. Beside
   * the first ones of a second, all processes log the same requests.
   */
  noteCommon(event: string, request: string, fields: () => Fields): void;
  /** All is well: logged if the request is in the sample. */
  sample(event: string, request: string, fields: () => Fields): void;
}

type Fields = Record<string, LogValue>;

/** Lines a second of one part of a process. */
const LINES_PER_S = 20;
/** Lines a second of one part about what load makes common, of any request. */
const COMMON_LINES_PER_S = 4;
/** The same, of requests that all processes log. */
const CHOSEN_LINES_PER_S = 8;
/** One request in so many is one of these. */
const CHOSEN_PERIOD = 8;
/** One request in so many is in the sample. */
const SAMPLE_PERIOD = 128;

/** Whether a request is one in `period`; the same in every process. */
function isChosen(request: string, period: number): boolean {
  return spreadOf(request) % period === 0;
}

/** Whether a request is in the sample; the same in every process. */
export function isSampled(request: string): boolean {
  return isChosen(request, SAMPLE_PERIOD);
}

/** Creates a log of requests. */
export function createRequestLog(
  options: { logger: Logger; timer: Timer },
): RequestLog {
  const log = createLimitedLog({ ...options, perSecond: LINES_PER_S });
  const common = createLimitedLog({
    ...options,
    perSecond: COMMON_LINES_PER_S,
  });
  const chosen = createLimitedLog({
    ...options,
    perSecond: CHOSEN_LINES_PER_S,
  });
  return {
    note: (event, request, fields) => log.info(event, { request, ...fields }),
    noteCommon(event, request, fields) {
      const log = isChosen(request, CHOSEN_PERIOD) ? chosen : common;
      log.infoOf(event, () => ({ request, ...fields() }));
    },
    sample(event, request, fields) {
      if (isSampled(request)) {
        log.info(event, { request, ...fields() });
      }
    },
  };
}
