/**
 * Adaptive throttling: an ingress refuses a part of a class's requests itself,
 * before it asks any guard, while guards refuse many of them.
 *
 * The load that this answers: more requests than the fleet can run. Each of them
 * would ask several guards before it is refused, and its caller sends it again,
 * so that the exchanges take the processor time that running requests need.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** How a request ended that guards were asked to run. */
export type RequestEnd = "accepted" | "refused";

/** Throttles the requests of an ingress. */
export interface Throttle {
  /**
   * Counts a request, and decides whether it is refused without asking a guard.
   * `isLate` says that it can no longer meet its latency objective.
   */
  refuses(className: string, isLate: boolean): boolean;
  /** Records how a request ended that was not refused. */
  record(className: string, end: RequestEnd): void;
}

/** Options of {@link createThrottle}. */
export interface ThrottleOptions {
  timer: Timer;
  /** Returns a random number from 0 to 1. */
  randomFraction: () => number;
}

/** Recent requests of a class; older ones count less. */
interface Counts {
  /** Requests that came, whether they were refused here or not. */
  offered: number;
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
/** The same for requests that can no longer meet their objective. */
const LATE_SENT_PER_ACCEPTED = 0.75;
/** Age from which a refusal by a guard no longer shows an overload. */
const MAX_EVIDENCE_AGE_MS = 500;
/** Refusals for each accepted request up to which nothing is refused here. */
const TOLERATED_REFUSALS = 0.1;
/** Requests of a class that are always let through. */
const MIN_REQUESTS = 5;
const MAX_CLASSES = 1_000;

/** Creates a throttle that refuses nothing yet. */
export function createThrottle(options: ThrottleOptions): Throttle {
  const { timer, randomFraction } = options;
  const classes = new Map<string, Counts>();

  /** Returns the counts of a class, decayed to now. */
  function countsOf(className: string): Counts | undefined {
    const now = timer.now();
    const counts = classes.get(className) ?? {
      offered: 0,
      accepted: 0,
      refused: 0,
      refusedAt: -Infinity,
      updatedAt: now,
    };
    if (!classes.has(className) && classes.size >= MAX_CLASSES) {
      return undefined;
    }
    classes.set(className, counts);
    const weight = 0.5 ** ((now - counts.updatedAt) / HALF_LIFE_MS);
    counts.offered *= weight;
    counts.accepted *= weight;
    counts.refused *= weight;
    counts.updatedAt = now;
    return counts;
  }

  return {
    refuses(className, isLate) {
      const counts = countsOf(className);
      if (!counts) {
        return false;
      }
      counts.offered++;
      const { offered, accepted, refused, refusedAt } = counts;
      const isOverloaded = refused > TOLERATED_REFUSALS * accepted &&
        timer.now() - refusedAt < MAX_EVIDENCE_AGE_MS;
      if (!isOverloaded) {
        return false;
      }
      const perAccepted = isLate ? LATE_SENT_PER_ACCEPTED : SENT_PER_ACCEPTED;
      const sendable = Math.max(MIN_REQUESTS, perAccepted * accepted);
      return randomFraction() < (offered - sendable) / offered;
    },
    record(className, end) {
      const counts = countsOf(className);
      if (!counts) {
        return;
      }
      counts[end]++;
      if (end === "refused") {
        counts.refusedAt = timer.now();
      }
    },
  };
}
