/**
 * Latency histograms for each workspace and class, counters and gauges.
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Outcome } from "../network/frames.ts";

/** Quantile used as the usual latency of a request class. */
export const MEDIAN = 0.5;
const MICROSECONDS_PER_MS = 1_000;
const MAX_LATENCY_MICROSECONDS = 120_000_000;
const SIGNIFICANT_DIGITS = 2;
const MAX_SERIES = 400;
const MIN_SAMPLES = 50;
/** New samples, relative to those before, after which a quantile is recomputed. */
const RECOMPUTE_RATIO = 0.25;
const OTHER_WORKSPACE = "(other)";

/** Latencies and outcomes of one workspace and class. */
export interface Series {
  workspace: string;
  class: string;
  histogram: Histogram;
  outcomes: Record<Outcome, number>;
}

/** A summary of one series, in milliseconds. */
export interface SeriesSummary {
  tenant: string;
  class: string;
  count: number;
  p50: number;
  p99: number;
  p999: number;
  max: number;
  outcomes: Record<Outcome, number>;
}

/** Metrics of one process. */
export interface Metrics {
  /** Records how a request ended. */
  request(end: RequestEnd): void;
  /** Adds to a counter. */
  count(name: string, amount?: number): void;
  /** Increments a counter that has a label. */
  countBy(name: string, label: Label): void;
  /** Sets a counter to zero for each of the given values of its label. */
  initializeCounter(
    name: string,
    options: { label: string; values: string[] },
  ): void;
  /** Records the duration of something other than a whole request. */
  timing(name: string, className: string, ms: number): void;
  /** Registers a gauge; `read` returns its value each time metrics are shown. */
  gauge(name: string, read: () => number): void;
  /**
   * Returns a latency quantile of a class over all workspaces, in milliseconds,
   * or `undefined` while there are fewer than `MIN_SAMPLES` samples.
   */
  quantile(className: string, quantile: number): number | undefined;
  /** Returns a summary of each series. */
  summaries(): SeriesSummary[];
  /** Returns the counters without a label. */
  counters(): Record<string, number>;
  /** Returns all metrics in the Prometheus text format. */
  text(): string;
}

/** A label of a counter, with its value. */
export interface Label {
  name: string;
  value: string;
}

/** The end of a request. */
export interface RequestEnd {
  workspace: string;
  class: string;
  latencyMs: number;
  outcome: Outcome;
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: MAX_LATENCY_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function toMicroseconds(ms: number): number {
  const value = Math.round(ms * MICROSECONDS_PER_MS);
  return Math.min(MAX_LATENCY_MICROSECONDS, Math.max(1, value));
}

/** Returns a timing's name and class label, to which a quantile is appended. */
function timingPrefix(name: string, className: string): string {
  return `mustardcross_${name}_seconds{class="${escapeLabel(className)}"`;
}

function formatTiming(labels: string, histogram: Histogram): string[] {
  const quantiles = [50, 99].map((percentile) => {
    const seconds = percentileMs(histogram, percentile) / 1_000;
    return `${labels},quantile="${percentile / 100}"} ${seconds}`;
  });
  const count = labels.replace("_seconds{", "_seconds_count{");
  return [...quantiles, `${count}} ${histogram.totalCount}`];
}

function escapeLabel(value: string): string {
  return value.replaceAll("\\", "\\\\").replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}

/** Returns the name and label of a counter in the text format. */
function counterKey(name: string, label: Label): string {
  return `mustardcross_${name}_total{${label.name}="${
    escapeLabel(label.value)
  }"}`;
}

/** Returns how many new samples make a quantile of `count` samples outdated. */
function samplesUntilRecompute(count: number): number {
  return Math.max(MIN_SAMPLES, count * RECOMPUTE_RATIO);
}

/** Creates empty metrics. */
export function createMetrics(): Metrics {
  const series = new Map<string, Series>();
  const classes = new Map<string, Histogram>();
  const quantiles = new Map<string, { value: number; count: number }>();
  const counters = new Map<string, number>();
  /** Counters with a label, by their key from `counterKey`. */
  const labelledCounters = new Map<string, number>();
  const timings = new Map<string, { labels: string; histogram: Histogram }>();
  const gauges = new Map<string, () => number>();

  function seriesFor(workspace: string, className: string): Series {
    const name = `${workspace}\n${className}`;
    const existing = series.get(name);
    if (existing) {
      return existing;
    }
    if (series.size >= MAX_SERIES && workspace !== OTHER_WORKSPACE) {
      return seriesFor(OTHER_WORKSPACE, className);
    }
    const created: Series = {
      workspace,
      class: className,
      histogram: createHistogram(),
      outcomes: { ran: 0, not_run: 0, unknown: 0 },
    };
    series.set(name, created);
    return created;
  }

  function classFor(name: string): Histogram {
    const histogram = classes.get(name) ?? createHistogram();
    classes.set(name, histogram);
    return histogram;
  }

  function summarize(entry: Series): SeriesSummary {
    const { workspace: tenant, histogram, outcomes } = entry;
    return {
      tenant,
      class: entry.class,
      count: histogram.totalCount,
      p50: percentileMs(histogram, 50),
      p99: percentileMs(histogram, 99),
      p999: percentileMs(histogram, 99.9),
      max: histogram.maxValue / MICROSECONDS_PER_MS,
      outcomes,
    };
  }

  function formatSeries(entry: Series): string[] {
    const workspace = escapeLabel(entry.workspace);
    const labels = `tenant="${workspace}",class="${escapeLabel(entry.class)}"`;
    const name = "mustardcross_request_seconds";
    const quantiles = [50, 99, 99.9].map((percentile) => {
      const seconds = percentileMs(entry.histogram, percentile) / 1_000;
      return `${name}{${labels},quantile="${percentile / 100}"} ${seconds}`;
    });
    const outcomes = Object.entries(entry.outcomes).map(([outcome, count]) =>
      `mustardcross_requests_total{${labels},outcome="${outcome}"} ${count}`
    );
    return [
      ...quantiles,
      `${name}_count{${labels}} ${entry.histogram.totalCount}`,
      ...outcomes,
    ];
  }

  return {
    request({ workspace, class: className, latencyMs, outcome }) {
      const entry = seriesFor(workspace, className);
      const value = toMicroseconds(latencyMs);
      entry.histogram.recordValue(value);
      entry.outcomes[outcome]++;
      if (outcome === "ran") {
        classFor(className).recordValue(value);
      }
    },
    count(name, amount = 1) {
      counters.set(name, (counters.get(name) ?? 0) + amount);
    },
    countBy(name, label) {
      const key = counterKey(name, label);
      if (labelledCounters.has(key) || labelledCounters.size < MAX_SERIES) {
        labelledCounters.set(key, (labelledCounters.get(key) ?? 0) + 1);
      }
    },
    initializeCounter(name, { label, values }) {
      for (const value of values) {
        labelledCounters.set(counterKey(name, { name: label, value }), 0);
      }
    },
    timing(name, className, ms) {
      const key = `${name}\n${className}`;
      const existing = timings.get(key);
      if (!existing && timings.size >= MAX_SERIES) {
        return;
      }
      const timing = existing ??
        { labels: timingPrefix(name, className), histogram: createHistogram() };
      timings.set(key, timing);
      timing.histogram.recordValue(toMicroseconds(ms));
    },
    gauge: (name, read) => gauges.set(name, read),
    quantile(className, quantile) {
      const histogram = classes.get(className);
      if (!histogram || histogram.totalCount < MIN_SAMPLES) {
        return undefined;
      }
      const name = `${className} ${quantile}`;
      const existing = quantiles.get(name);
      const count = histogram.totalCount;
      // The quantile is recomputed only once enough new samples were recorded.
      if (
        existing &&
        count - existing.count < samplesUntilRecompute(existing.count)
      ) {
        return existing.value;
      }
      const value = percentileMs(histogram, quantile * 100);
      quantiles.set(name, { value, count });
      return value;
    },
    summaries: () => [...series.values()].map(summarize),
    counters: () => Object.fromEntries(counters),
    text() {
      const lines = [...series.values()].flatMap(formatSeries);
      for (const { labels, histogram } of timings.values()) {
        lines.push(...formatTiming(labels, histogram));
      }
      for (const [name, value] of counters) {
        lines.push(`mustardcross_${name}_total ${value}`);
      }
      for (const [name, value] of labelledCounters) {
        lines.push(`${name} ${value}`);
      }
      for (const [name, read] of gauges) {
        lines.push(`mustardcross_${name} ${read()}`);
      }
      return lines.join("\n") + "\n";
    },
  };
}
