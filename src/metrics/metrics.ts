/**
 * Latency histograms for each tenant and class, and counters.
 * @module
 */
import { build, type Histogram } from "hdr-histogram-js";
import type { Outcome } from "../network/frames.ts";

const MICROSECONDS_PER_MS = 1_000;
const HIGHEST_MICROSECONDS = 120_000_000;
const SIGNIFICANT_DIGITS = 2;
const MAX_SERIES = 400;
const MIN_SAMPLES = 50;
/** Share of new samples from which a quantile is worked out again. */
const RENEWED_SHARE = 0.25;
const OTHER_TENANT = "(other)";

/** Latencies of one tenant and class. */
export interface Series {
  tenant: string;
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
  /** Adds one to a counter that is kept apart by a label. */
  countBy(name: string, label: Label): void;
  /** Shows the parts of a counter before anything was counted. */
  showCounter(name: string, parts: { label: string; values: string[] }): void;
  /** Records how long something took that is not a whole request. */
  timing(name: string, className: string, ms: number): void;
  /** Sets a gauge that is read when metrics are shown. */
  gauge(name: string, read: () => number): void;
  /**
   * Returns a latency quantile of a class over all tenants, in ms, or
   * `undefined` while there are too few samples to tell.
   */
  quantile(className: string, quantile: number): number | undefined;
  /** Returns a summary of each series. */
  summaries(): SeriesSummary[];
  /** Returns all counters. */
  counters(): Record<string, number>;
  /** Returns everything in the text format that collectors read. */
  text(): string;
}

/** What tells the parts of a counter from each other. */
export interface Label {
  name: string;
  value: string;
}

/** How a request ended. */
export interface RequestEnd {
  tenant: string;
  class: string;
  latencyMs: number;
  outcome: Outcome;
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_MICROSECONDS,
    numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
    useWebAssembly: false,
  });
}

function milliseconds(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}

function microseconds(ms: number): number {
  const value = Math.round(ms * MICROSECONDS_PER_MS);
  return Math.min(HIGHEST_MICROSECONDS, Math.max(1, value));
}

/** Name and class of a timing; the quantile follows. */
function timingLabels(name: string, className: string): string {
  return `mustardcross_${name}_seconds{class="${escapeLabel(className)}"`;
}

function timingText(labels: string, histogram: Histogram): string[] {
  const quantiles = [50, 99].map((percentile) => {
    const seconds = milliseconds(histogram, percentile) / 1_000;
    return `${labels},quantile="${percentile / 100}"} ${seconds}`;
  });
  const count = labels.replace("_seconds{", "_seconds_count{");
  return [...quantiles, `${count}} ${histogram.totalCount}`];
}

function escapeLabel(value: string): string {
  return value.replaceAll("\\", "\\\\").replaceAll('"', '\\"')
    .replaceAll("\n", "\\n");
}

/** Returns the name under which one part of a counter is shown. */
function counterKey(name: string, label: Label): string {
  return `mustardcross_${name}_total{${label.name}="${
    escapeLabel(label.value)
  }"}`;
}

/** Samples after which a quantile of so many is worked out again. */
function renewAfter(count: number): number {
  return Math.max(MIN_SAMPLES, count * RENEWED_SHARE);
}

/** Creates empty metrics. */
export function createMetrics(): Metrics {
  const series = new Map<string, Series>();
  const classes = new Map<string, Histogram>();
  const quantiles = new Map<string, { value: number; count: number }>();
  const counters = new Map<string, number>();
  /** Counters kept apart by a label, by their text. */
  const labelled = new Map<string, number>();
  const timings = new Map<string, { labels: string; histogram: Histogram }>();
  const gauges = new Map<string, () => number>();

  function seriesFor(tenant: string, className: string): Series {
    const name = `${tenant}\n${className}`;
    const known = series.get(name);
    if (known) {
      return known;
    }
    if (series.size >= MAX_SERIES && tenant !== OTHER_TENANT) {
      return seriesFor(OTHER_TENANT, className);
    }
    const created: Series = {
      tenant,
      class: className,
      histogram: newHistogram(),
      outcomes: { ran: 0, not_run: 0, unknown: 0 },
    };
    series.set(name, created);
    return created;
  }

  function classFor(name: string): Histogram {
    const known = classes.get(name) ?? newHistogram();
    classes.set(name, known);
    return known;
  }

  function summarize(one: Series): SeriesSummary {
    const { tenant, histogram, outcomes } = one;
    return {
      tenant,
      class: one.class,
      count: histogram.totalCount,
      p50: milliseconds(histogram, 50),
      p99: milliseconds(histogram, 99),
      p999: milliseconds(histogram, 99.9),
      max: histogram.maxValue / MICROSECONDS_PER_MS,
      outcomes,
    };
  }

  function seriesText(one: Series): string[] {
    const tenant = escapeLabel(one.tenant);
    const labels = `tenant="${tenant}",class="${escapeLabel(one.class)}"`;
    const name = "mustardcross_request_seconds";
    const quantiles = [50, 99, 99.9].map((percentile) => {
      const seconds = milliseconds(one.histogram, percentile) / 1_000;
      return `${name}{${labels},quantile="${percentile / 100}"} ${seconds}`;
    });
    const outcomes = Object.entries(one.outcomes).map(([outcome, count]) =>
      `mustardcross_requests_total{${labels},outcome="${outcome}"} ${count}`
    );
    return [
      ...quantiles,
      `${name}_count{${labels}} ${one.histogram.totalCount}`,
      ...outcomes,
    ];
  }

  return {
    request({ tenant, class: className, latencyMs, outcome }) {
      const one = seriesFor(tenant, className);
      const value = microseconds(latencyMs);
      one.histogram.recordValue(value);
      one.outcomes[outcome]++;
      if (outcome === "ran") {
        classFor(className).recordValue(value);
      }
    },
    count(name, amount = 1) {
      counters.set(name, (counters.get(name) ?? 0) + amount);
    },
    countBy(name, label) {
      const key = counterKey(name, label);
      if (labelled.has(key) || labelled.size < MAX_SERIES) {
        labelled.set(key, (labelled.get(key) ?? 0) + 1);
      }
    },
    showCounter(name, { label, values }) {
      for (const value of values) {
        labelled.set(counterKey(name, { name: label, value }), 0);
      }
    },
    timing(name, className, ms) {
      const key = `${name}\n${className}`;
      const known = timings.get(key);
      if (!known && timings.size >= MAX_SERIES) {
        return;
      }
      const timing = known ??
        { labels: timingLabels(name, className), histogram: newHistogram() };
      timings.set(key, timing);
      timing.histogram.recordValue(microseconds(ms));
    },
    gauge: (name, read) => gauges.set(name, read),
    quantile(className, quantile) {
      const histogram = classes.get(className);
      if (!histogram || histogram.totalCount < MIN_SAMPLES) {
        return undefined;
      }
      const name = `${className} ${quantile}`;
      const known = quantiles.get(name);
      const count = histogram.totalCount;
      // A quantile is worked out again only after a good part of new samples.
      if (known && count - known.count < renewAfter(known.count)) {
        return known.value;
      }
      const value = milliseconds(histogram, quantile * 100);
      quantiles.set(name, { value, count });
      return value;
    },
    summaries: () => [...series.values()].map(summarize),
    counters: () => Object.fromEntries(counters),
    text() {
      const lines = [...series.values()].flatMap(seriesText);
      for (const { labels, histogram } of timings.values()) {
        lines.push(...timingText(labels, histogram));
      }
      for (const [name, value] of counters) {
        lines.push(`mustardcross_${name}_total ${value}`);
      }
      for (const [name, value] of labelled) {
        lines.push(`${name} ${value}`);
      }
      for (const [name, read] of gauges) {
        lines.push(`mustardcross_${name} ${read()}`);
      }
      return lines.join("\n") + "\n";
    },
  };
}
