/**
 * Warming up by a known rate: a cold backend server bears a number of requests
 * in any one second, and is warm after a known time.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { Warmup } from "./warmup.ts";

/** Limits of a server whose cold rate is known. */
export interface ColdRateLimits {
  /** Requests that start within any second while it is cold. */
  perSecond: number;
  /** Time for which it is taken for cold if it does not say, in ms. */
  coldMs: number;
  /** Requests at once. */
  slots: number;
}

const WINDOW_MS = 1_000;

/**
 * Creates a server that is taken for cold until it says otherwise. Up to
 * `unknownUntil` an earlier guard may have started as many as it bears.
 */
export function createColdRate(
  timer: Timer,
  limits: () => ColdRateLimits,
  unknownUntil = -Infinity,
): Warmup {
  let coldUntil = Infinity;
  /** Times at which requests started within the last second. */
  let starts: number[] = [];

  function isCold(): boolean {
    return timer.now() < coldUntil;
  }

  function pauseMs(): number {
    if (!isCold()) {
      return 0;
    }
    const perSecond = Math.max(1, Math.floor(limits().perSecond));
    const since = timer.now() - WINDOW_MS;
    starts = starts.filter((at) => at > since);
    const blocking = Math.max(
      starts.at(-perSecond) ?? -Infinity,
      unknownUntil,
    );
    return Math.max(0, blocking - since);
  }

  return {
    get allowed() {
      return limits().slots;
    },
    get cold() {
      return isCold();
    },
    get pauseMs() {
      return pauseMs();
    },
    started() {
      starts.push(timer.now());
      const since = timer.now() - WINDOW_MS;
      while (starts[0] <= since) {
        starts.shift();
      }
    },
    complete: () => false,
    reset() {
      coldUntil = timer.now() + limits().coldMs;
    },
    noteCold(coldMs) {
      coldUntil = timer.now() + coldMs;
    },
  };
}
