/**
 * Finds out whether a backend server slows down when it is nearly full, by the
 * pace of what began beside much and beside little other work.
 *
 * Answers a load that fills servers: above its knee a server does less in all.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** How one request fared. */
export interface PaceSample {
  /** Requests that ran when it began and when it ended, itself included. */
  busyAtStart: number;
  busyAtEnd: number;
  slots: number;
  /** Its time as a multiple of the usual one below the knee. */
  pace: number;
}

/** What is known of a server that is nearly full. */
export interface Knee {
  /** Whether a server is nearly full beside so much work. */
  nearlyFull(busy: number, slots: number): boolean;
  /** Learns from a request. */
  note(sample: PaceSample): void;
  /** Returns how many of its slots are worth filling. */
  worthFilling(slots: number): number;
}

/** Share of the slots past which a server counts as nearly full. */
const NEARLY_FULL_SHARE = 0.79;
/** Multiple of the pace at less load from which filling up does not pay. */
const SLOWER = 1.2;
const MIN_SAMPLES = 10;
const WEIGHT = 0.08;
/** One request that began in an unseen slow spell must not count much. */
const MAX_PACE = 3;
/** Time after which a server is tried full again, in milliseconds. */
const FORGET_MS = 120_000;

interface Average {
  count: number;
  value: number;
}

function add(average: Average, sample: number): void {
  average.count++;
  const weight = Math.max(WEIGHT, 1 / average.count);
  average.value += weight * (sample - average.value);
}

/**
 * Creates a knee of which nothing is known: the server is not filled until its
 * usual pace is known, then filled until it is known to slow down.
 */
export function createKnee(timer: Timer): Knee {
  const below: Average = { count: 0, value: 1 };
  const above: Average = { count: 0, value: 1 };
  let learnedAt = timer.now();

  function comfortable(slots: number): number {
    return Math.max(1, Math.floor(slots * NEARLY_FULL_SHARE));
  }

  function nearlyFull(busy: number, slots: number): boolean {
    return busy > comfortable(slots);
  }

  return {
    nearlyFull,
    note({ busyAtStart, busyAtEnd, slots, pace }) {
      const started = nearlyFull(busyAtStart, slots);
      if (started !== nearlyFull(busyAtEnd, slots)) {
        return;
      }
      add(started ? above : below, Math.min(MAX_PACE, pace));
      if (started) {
        learnedAt = timer.now();
      }
    },
    worthFilling(slots) {
      if (timer.now() - learnedAt > FORGET_MS) {
        above.count = 0;
        learnedAt = timer.now();
      }
      if (below.count < MIN_SAMPLES) {
        return comfortable(slots);
      }
      const tried = above.count >= MIN_SAMPLES;
      return tried && above.value > below.value * SLOWER
        ? comfortable(slots)
        : slots;
    },
  };
}
