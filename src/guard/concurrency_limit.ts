/**
 * Detects whether a backend server slows down when it is nearly full, by
 * comparing the latencies of requests at high and at low concurrency.
 *
 * A server that is filled beyond its best concurrency has a lower throughput.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Latency of one request and the concurrency at which it ran. */
export interface LatencySample {
  /** Class of the request; latencies are only compared within a class. */
  class: string;
  /** Latency in ms, corrected for the slowness that the server reported. */
  latencyMs: number;
  /** Number of running requests at its start and end, itself included. */
  busyAtStart: number;
  busyAtEnd: number;
  slots: number;
}

/** Estimates how many slots of a server can be used without slowing it down. */
export interface ConcurrencyLimit {
  /** Whether a server with `busy` running requests is nearly full. */
  isNearlyFull(busy: number, slots: number): boolean;
  /** Adds the latency of one request. */
  note(sample: LatencySample): void;
  /** Returns how many of the slots should be used. */
  usableSlots(slots: number): number;
}

/** Share of the slots past which a server counts as nearly full. */
const NEARLY_FULL_SHARE = 0.79;
/** Slowdown above which a server is not filled. */
const MAX_SLOWDOWN = 1.2;
/** Samples needed below the threshold, and on either side for the slowdown. */
const MIN_SAMPLES = 12;
const WEIGHT = 0.05;
/** Bounds the weight of a request that started in an unreported spike. */
const OUTLIER_FACTOR = 2.5;
const MAX_CLASSES = 1_000;
/** Time without nearly full load after which it is tried again, in ms. */
const FULL_LOAD_RETRY_MS = 120_000;

interface Average {
  count: number;
  value: number;
}

/** Latencies of one class below and above the nearly full threshold. */
interface ClassLatencies {
  below: Average;
  above: Average;
}

function add(average: Average, sample: number): void {
  average.count++;
  const bounded = average.count > 1
    ? Math.min(sample, average.value * OUTLIER_FACTOR)
    : sample;
  const weight = Math.max(WEIGHT, 1 / average.count);
  average.value += weight * (bounded - average.value);
}

/**
 * Creates an estimate without samples. The server is not filled until enough
 * latencies below the threshold are known; after that it is filled unless it
 * slows down.
 */
export function createConcurrencyLimit(timer: Timer): ConcurrencyLimit {
  const classes = new Map<string, ClassLatencies>();
  let aboveSampledAt = timer.now();

  function reducedLimit(slots: number): number {
    return Math.max(1, Math.floor(slots * NEARLY_FULL_SHARE));
  }

  function isNearlyFull(busy: number, slots: number): boolean {
    return busy > reducedLimit(slots);
  }

  function latenciesOf(name: string): ClassLatencies | undefined {
    const known = classes.get(name);
    if (known || classes.size >= MAX_CLASSES) {
      return known;
    }
    const created: ClassLatencies = {
      below: { count: 0, value: 0 },
      above: { count: 0, value: 0 },
    };
    classes.set(name, created);
    return created;
  }

  function countOf(side: keyof ClassLatencies): number {
    let count = 0;
    for (const latencies of classes.values()) {
      count += latencies[side].count;
    }
    return count;
  }

  /** Returns the ratio of latencies above to below; 1 while it is unknown. */
  function slowdown(): number {
    let sum = 0;
    let weights = 0;
    for (const { below, above } of classes.values()) {
      const weight = Math.min(below.count, above.count);
      if (weight > 0 && below.value > 0) {
        sum += weight * above.value / below.value;
        weights += weight;
      }
    }
    return weights >= MIN_SAMPLES ? sum / weights : 1;
  }

  function discardAbove(): void {
    for (const latencies of classes.values()) {
      latencies.above = { count: 0, value: 0 };
    }
    aboveSampledAt = timer.now();
  }

  return {
    isNearlyFull,
    note(sample) {
      const { busyAtStart, busyAtEnd, slots, latencyMs } = sample;
      const latencies = latenciesOf(sample.class);
      const aboveAtStart = isNearlyFull(busyAtStart, slots);
      if (!latencies || aboveAtStart !== isNearlyFull(busyAtEnd, slots)) {
        return;
      }
      add(aboveAtStart ? latencies.above : latencies.below, latencyMs);
      if (aboveAtStart) {
        aboveSampledAt = timer.now();
      }
    },
    usableSlots(slots) {
      if (timer.now() - aboveSampledAt > FULL_LOAD_RETRY_MS) {
        discardAbove();
      }
      const unknown = countOf("below") < MIN_SAMPLES;
      return unknown || slowdown() > MAX_SLOWDOWN ? reducedLimit(slots) : slots;
    },
  };
}
