/**
 * Gauges of the process: processor time, memory, event loop delay and garbage
 * collection pauses.
 * @module
 */
import { performance, PerformanceObserver } from "node:perf_hooks";
import { build } from "hdr-histogram-js";
import { createRateLimitedLog } from "../core/log_limit.ts";
import type { Logger } from "../core/logger.ts";
import type { EventLoopLag } from "../time/event_loop_lag.ts";
import type { Timer } from "../time/timer.ts";
import { createRecentMax } from "./recent_max.ts";
import type { Metrics } from "./metrics.ts";

const MICROSECONDS_PER_SECOND = 1e6;
const MS_PER_SECOND = 1_000;
/** Longest delay that the histogram distinguishes; longer ones count as this. */
const MAX_RECORDED_DELAY_MS = 60_000;
const P99 = 99;
/** Shortest period that the gauge of the largest delay covers. */
const MAX_WINDOW_MS = 10_000;
/** Shortest delay of the event loop that is logged. */
const LOGGED_DELAY_MS = 200;
const DELAY_LINES_PER_S = 1;

/** Logs delays of the event loop that are long enough for callers to notice. */
export function logEventLoopDelays(
  { lag, logger, timer }: { lag: EventLoopLag; logger: Logger; timer: Timer },
): void {
  const log = createRateLimitedLog({
    logger,
    timer,
    perSecond: DELAY_LINES_PER_S,
  });
  lag.onTick((delayMs) => {
    if (delayMs >= LOGGED_DELAY_MS) {
      log.write("process.delayed", { ms: Math.round(delayMs) });
    }
  });
}

/** Registers the gauges of the process in its metrics. */
export function registerProcessGauges(
  metrics: Metrics,
  lag: EventLoopLag,
): void {
  const recentMax = createRecentMax(MAX_WINDOW_MS);
  lag.onTick((delayMs) => recentMax.record(delayMs, performance.now()));
  metrics.gauge(
    "event_loop_delay_max_seconds",
    () => recentMax.value(performance.now()) / MS_PER_SECOND,
  );
  const delays = build({
    highestTrackableValue: MAX_RECORDED_DELAY_MS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
  });
  lag.onTick((delayMs) =>
    delays.recordValue(Math.min(MAX_RECORDED_DELAY_MS, Math.round(delayMs)))
  );
  let gcPauseMs = 0;
  const observer = new PerformanceObserver((list) => {
    for (const entry of list.getEntries()) {
      gcPauseMs += entry.duration;
    }
  });
  observer.observe({ entryTypes: ["gc"] });
  metrics.gauge(
    "event_loop_delay_p99_seconds",
    () => delays.getValueAtPercentile(P99) / MS_PER_SECOND,
  );
  metrics.gauge("gc_pause_seconds", () => gcPauseMs / MS_PER_SECOND);
  metrics.gauge("processor_seconds", () => {
    const { user, system } = process.cpuUsage();
    return (user + system) / MICROSECONDS_PER_SECOND;
  });
  metrics.gauge("memory_bytes", () => process.memoryUsage().rss);
  metrics.gauge("memory_heap_bytes", () => process.memoryUsage().heapTotal);
  // Buffers of sockets and bodies stand outside the heap.
  metrics.gauge(
    "memory_buffer_bytes",
    () => process.memoryUsage().arrayBuffers,
  );
}
