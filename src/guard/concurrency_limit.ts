/**
 * Finds out whether a backend server slows down when it is nearly full, by the
 * times of what ran beside much and beside little other work.
 *
 * Answers a load that fills servers: above its limit a server does less in all.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** How one request fared. */
export interface PaceSample {
  /** Kind of request; times are compared within a kind. */
  class: string;
  /** Time that it took, as if its VM had had its usual speed, in ms. */
  latencyMs: number;
  /** Requests that ran when it began and when it ended, itself included. */
  busyAtStart: number;
  busyAtEnd: number;
  slots: number;
}

/** What is known of a server that is nearly full. */
export interface ConcurrencyLimit {
  /** Whether a server is nearly full beside so much work. */
  nearlyFull(busy: number, slots: number): boolean;
  /** Learns from a request. */
  note(sample: PaceSample): void;
  /** Returns how many of its slots are worth filling. */
  worthFilling(slots: number): number;
}

/** Share of the slots past which a server counts as nearly full. */
const NEARLY_FULL_SHARE = 0.79;
/** Multiple of the usual time from which filling up does not pay. */
const SLOWER = 1.2;
/** Requests of either sort after which something is known. */
const MIN_SAMPLES = 12;
const WEIGHT = 0.05;
/** One request that began in an unseen slow spell must not count much. */
const MAX_MULTIPLE = 2.5;
const MAX_CLASSES = 1_000;
/** Time after which a server is tried full again, in milliseconds. */
const FORGET_MS = 120_000;

interface Average {
  count: number;
  value: number;
}

/** Times of one kind of request beside little and beside much work. */
interface Times {
  below: Average;
  above: Average;
}

function add(average: Average, sample: number): void {
  average.count++;
  const bounded = average.count > 1
    ? Math.min(sample, average.value * MAX_MULTIPLE)
    : sample;
  const weight = Math.max(WEIGHT, 1 / average.count);
  average.value += weight * (bounded - average.value);
}

/**
 * Creates a limit of which nothing is known: the server is not filled until its
 * times below the limit are known, then filled until it is known to slow down.
 */
export function createConcurrencyLimit(timer: Timer): ConcurrencyLimit {
  const classes = new Map<string, Times>();
  let learnedAt = timer.now();

  function comfortable(slots: number): number {
    return Math.max(1, Math.floor(slots * NEARLY_FULL_SHARE));
  }

  function nearlyFull(busy: number, slots: number): boolean {
    return busy > comfortable(slots);
  }

  function timesOf(name: string): Times | undefined {
    const known = classes.get(name);
    if (known || classes.size >= MAX_CLASSES) {
      return known;
    }
    const created: Times = {
      below: { count: 0, value: 0 },
      above: { count: 0, value: 0 },
    };
    classes.set(name, created);
    return created;
  }

  function countOf(sort: keyof Times): number {
    let count = 0;
    for (const times of classes.values()) {
      count += times[sort].count;
    }
    return count;
  }

  /** How much longer requests take beside much work; 1 while unknown. */
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

  function forget(): void {
    for (const times of classes.values()) {
      times.above = { count: 0, value: 0 };
    }
    learnedAt = timer.now();
  }

  return {
    nearlyFull,
    note(sample) {
      const { busyAtStart, busyAtEnd, slots, latencyMs } = sample;
      const times = timesOf(sample.class);
      const began = nearlyFull(busyAtStart, slots);
      if (!times || began !== nearlyFull(busyAtEnd, slots)) {
        return;
      }
      add(began ? times.above : times.below, latencyMs);
      if (began) {
        learnedAt = timer.now();
      }
    },
    worthFilling(slots) {
      if (timer.now() - learnedAt > FORGET_MS) {
        forget();
      }
      const unknown = countOf("below") < MIN_SAMPLES;
      return unknown || slowdown() > SLOWER ? comfortable(slots) : slots;
    },
  };
}
