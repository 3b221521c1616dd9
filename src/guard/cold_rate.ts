/**
 * Warm-up by a known rate. A cold backend server may start a fixed number of
 * requests within any second, and is warm after a known time.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { Warmup } from "./warmup.ts";

/** Settings of a server whose cold rate is known. */
export interface ColdRateLimits {
  /** Number of requests that may start within any second while it is cold. */
  perSecond: number;
  /** Time for which a server counts as cold if it does not report it, in ms. */
  coldMs: number;
  /** Number of requests that may run at once. */
  slots: number;
}

const WINDOW_MS = 1_000;

/**
 * Creates the warm-up of a server that counts as cold until it reports
 * otherwise. Up to the monotonic time `unknownUntil`, an earlier guard may have
 * started as many requests as the rate allows, except for `unusedShare` of them.
 */
export function createColdRate(
  timer: Timer,
  limits: () => ColdRateLimits,
  unknownUntil = -Infinity,
  unusedShare: () => number = () => 0,
): Warmup {
  let coldUntil = Infinity;
  /** Whether the server counts as cold without having said so. */
  let isAssumed = true;
  /** Start times of the requests of the last second. */
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
    starts = starts.filter((startedAt) => startedAt > since);
    const blockingStart = Math.max(
      starts.at(-perSecond) ?? -Infinity,
      since < unknownUntil && isUnusedPartStarted(perSecond)
        ? unknownUntil
        : -Infinity,
    );
    return Math.max(0, blockingStart - since);
  }

  /** Whether all was started that an earlier guard cannot have started. */
  function isUnusedPartStarted(perSecond: number): boolean {
    return starts.length >= Math.floor(perSecond * unusedShare());
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
      isAssumed = true;
    },
    noteCold(coldMs) {
      // An announcement may be older than the report that the server is cold.
      if (coldMs > 0 || isAssumed) {
        coldUntil = timer.now() + coldMs;
        isAssumed = false;
      }
    },
  };
}
