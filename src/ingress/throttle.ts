/**
 * Adaptive throttling: an ingress refuses a part of the requests of a kind itself,
 * before it asks any guard, while guards refuse many of them. Requests of one
 * workspace and class are of one kind, so that no workspace pays for another.
 *
 * The load that this answers: more requests than the fleet can run. Each of them
 * would ask several guards before it is refused, and its caller sends it again,
 * so that the exchanges take the processor time that running requests need.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Whether guards had capacity for a request that they were asked to run. */
export type RequestEnd = "accepted" | "refused";

/** Throttles the requests of an ingress. */
export interface Throttle {
  /**
   * Counts a request, and decides whether it is refused without asking a guard.
   * `isLate` says that it can no longer meet its latency objective.
   */
  refuses(kind: string, isLate: boolean): boolean;
  /** Records how a request ended that was not refused. */
  record(kind: string, end: RequestEnd): void;
}

/** Options of {@link createThrottle}. */
export interface ThrottleOptions {
  timer: Timer;
  /** Returns a random number from 0 to 1. */
  randomFraction: () => number;
}

/** Recent requests of a kind; older ones count less. */
interface Counts {
  /** Requests that came in time, whether they were refused here or not. */
  timely: number;
  /** Requests that came too late for their objective, refused or not. */
  late: number;
  accepted: number;
  /** Requests that guards refused. */
  refused: number;
  /** Monotonic time at which a guard last refused one. */
  refusedAt: number;
  updatedAt: number;
}

/** Time in which the weight of a request falls to a half. */
const HALF_LIFE_MS = 500;
/** Requests that are let through for each accepted one. */
const SENT_PER_ACCEPTED = 1.25;
/** Age from which a refusal by a guard no longer shows an overload. */
const MAX_EVIDENCE_AGE_MS = 500;
/** Refusals for each accepted request up to which nothing is refused here. */
const TOLERATED_REFUSALS = 0.1;
/** Requests of a kind that are always let through. */
const MIN_REQUESTS = 5;
const MAX_KINDS = 1_000;

/**
 * Returns which share of the timely or of the late requests may be sent. Late
 * ones get what the others leave.
 */
function sendableShare(counts: Counts, isLate: boolean): number {
  const { timely, late, accepted } = counts;
  const sendable = Math.max(MIN_REQUESTS, SENT_PER_ACCEPTED * accepted);
  return isLate ? (sendable - timely) / late : sendable / timely;
}

/** Creates a throttle that refuses nothing yet. */
export function createThrottle(options: ThrottleOptions): Throttle {
  const { timer, randomFraction } = options;
  /** Counts by kind, the ones used last at the end. */
  const kinds = new Map<string, Counts>();

  function createCounts(): Counts {
    return {
      timely: 0,
      late: 0,
      accepted: 0,
      refused: 0,
      refusedAt: -Infinity,
      updatedAt: timer.now(),
    };
  }

  /** Returns the counts of a kind, decayed to now. */
  function countsOf(kind: string): Counts {
    const counts = kinds.get(kind) ?? createCounts();
    kinds.delete(kind);
    kinds.set(kind, counts);
    if (kinds.size > MAX_KINDS) {
      kinds.delete(kinds.keys().next().value!);
    }
    const now = timer.now();
    const weight = 0.5 ** ((now - counts.updatedAt) / HALF_LIFE_MS);
    counts.timely *= weight;
    counts.late *= weight;
    counts.accepted *= weight;
    counts.refused *= weight;
    counts.updatedAt = now;
    return counts;
  }

  function isOverloaded({ accepted, refused, refusedAt }: Counts): boolean {
    return refused > TOLERATED_REFUSALS * accepted &&
      timer.now() - refusedAt < MAX_EVIDENCE_AGE_MS;
  }

  return {
    refuses(kind, isLate) {
      const counts = countsOf(kind);
      counts[isLate ? "late" : "timely"]++;
      return isOverloaded(counts) &&
        randomFraction() >= sendableShare(counts, isLate);
    },
    record(kind, end) {
      const counts = countsOf(kind);
      counts[end]++;
      if (end === "refused") {
        counts.refusedAt = timer.now();
      }
    },
  };
}
