/**
 * Busy periods: times in which the event loop of a process never waited for input or
 * a timer. The number of its turns in a period tells a process that polls without
 * end (many short turns) from one that has too much work (few long ones).
 * @module
 */
import { performance } from "node:perf_hooks";
import { createRateLimitedLog } from "../core/log_limit.ts";
import type { Logger } from "../core/logger.ts";
import type { EventLoopLag } from "../time/event_loop_lag.ts";
import type { Timer } from "../time/timer.ts";
import type { Metrics } from "./metrics.ts";

/** Running totals of an event loop. */
export interface EventLoopTotals {
  /** Time for which the loop has waited, in milliseconds. */
  idleMs: number;
  /** Number of turns of the loop. */
  turns: number;
  /** Number of events that its polls have brought. */
  events: number;
}

/** Reads the totals of this process. */
export function readEventLoopTotals(): EventLoopTotals {
  const { idleTime, uvMetricsInfo } = performance.nodeTiming;
  return {
    idleMs: idleTime,
    // Runtimes before 20.18 do not count turns.
    turns: uvMetricsInfo?.loopCount ?? 0,
    events: uvMetricsInfo?.events ?? 0,
  };
}

/** Options of {@link watchBusyPeriods}. */
export interface BusyPeriodsOptions {
  lag: Pick<EventLoopLag, "onTick">;
  logger: Logger;
  timer: Timer;
  metrics?: Pick<Metrics, "gauge">;
  readTotals?: () => EventLoopTotals;
}

/** Idle time between two ticks up to which the loop counts as busy. */
const MAX_IDLE_MS = 0.5;
/** Shortest busy period that is logged. */
const LOGGED_PERIOD_MS = 1_000;
const LINES_PER_S = 1;
const MS_PER_SECOND = 1_000;

/**
 * Logs busy periods as `process.busy`, while they last, and exposes the number of
 * turns and the length of the present period as gauges.
 */
export function watchBusyPeriods(options: BusyPeriodsOptions): void {
  const { lag, timer, metrics, readTotals = readEventLoopTotals } = options;
  const log = createRateLimitedLog({
    ...options,
    perSecond: LINES_PER_S,
  });
  let last = readTotals();
  let first = last;
  let busySince = timer.now();

  lag.onTick(() => {
    const totals = readTotals();
    const idleMs = totals.idleMs - last.idleMs;
    last = totals;
    if (idleMs > MAX_IDLE_MS) {
      first = totals;
      busySince = timer.now();
      return;
    }
    const periodMs = timer.now() - busySince;
    if (periodMs >= LOGGED_PERIOD_MS) {
      log.writeLazy("process.busy", () => ({
        ms: Math.round(periodMs),
        turns: totals.turns - first.turns,
        events: totals.events - first.events,
      }));
    }
  });
  metrics?.gauge("event_loop_turns", () => readTotals().turns);
  metrics?.gauge(
    "event_loop_busy_seconds",
    () => (timer.now() - busySince) / MS_PER_SECOND,
  );
}
