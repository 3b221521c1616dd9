/**
 * Gauges of the process itself: processor time, memory, event loop delay and
 * garbage collection pauses.
 * @module
 */
import { performance, PerformanceObserver } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import { createLimitedLog } from "../core/log_limit.ts";
import type { Logger } from "../core/logger.ts";
import type { EventLoopLag } from "../time/event_loop_lag.ts";
import type { Timer } from "../time/timer.ts";
import { createRecentMax } from "./recent_max.ts";
import type { Metrics } from "./metrics.ts";

const MICROSECONDS_PER_SECOND = 1e6;
const MS_PER_SECOND = 1_000;
/** Longest delay that is told from longer ones, in milliseconds. */
const LONGEST_DELAY_MS = 60_000;
const P99 = 99;
/** Time that the largest delay shown goes back at least, in milliseconds. */
const MAX_WINDOW_MS = 10_000;
/** Delay of the event loop from which on it is logged, in milliseconds. */
const DELAYED_MS = 200;
const DELAY_LINES_PER_S = 1;

/** Logs each delay of the event loop that callers will have noticed. */
export function logDelays(
  { lag, logger, timer }: { lag: EventLoopLag; logger: Logger; timer: Timer },
): void {
  const log = createLimitedLog({
    logger,
    timer,
    perSecond: DELAY_LINES_PER_S,
  });
  lag.onBeat((delayMs) => {
    if (delayMs >= DELAYED_MS) {
      log.info("process.delayed", { ms: Math.round(delayMs) });
    }
  });
}

/** Adds the process's own gauges to its metrics. */
export function watchEventLoop(metrics: Metrics, lag: EventLoopLag): void {
  const largest = createRecentMax(MAX_WINDOW_MS);
  lag.onBeat((delayMs) => largest.note(delayMs, performance.now()));
  metrics.gauge(
    "event_loop_delay_max_seconds",
    () => largest.value(performance.now()) / MS_PER_SECOND,
  );
  const delays = build({
    highestTrackableValue: LONGEST_DELAY_MS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
  lag.onBeat((delayMs) =>
    delays.recordValue(Math.min(LONGEST_DELAY_MS, Math.round(delayMs)))
  );
  let pausedMs = 0;
  const observer = new PerformanceObserver((list) => {
    for (const entry of list.getEntries()) {
      pausedMs += entry.duration;
    }
  });
  observer.observe({ entryTypes: ["gc"] });
  metrics.gauge(
    "event_loop_delay_p99_seconds",
    () => delays.getValueAtPercentile(P99) / MS_PER_SECOND,
  );
  metrics.gauge("gc_pause_seconds", () => pausedMs / MS_PER_SECOND);
  metrics.gauge("processor_seconds", () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_SECOND;
  });
  metrics.gauge("memory_bytes", () => process.memoryUsage().rss);
}
