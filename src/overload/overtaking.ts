/**
 * Measures which share of the slot time recently went to requests that go before
 * a given one, which tells how much later arrivals will delay it.
 *
 * The load that this answers: more urgent requests take almost all slots. One of
 * low rank that is told to wait for the few requests ahead of it would be
 * overtaken until it is refused, and its caller would come back too soon.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Recent starts of requests by their places in the order. */
export interface Overtaking {
  /** Records the start of a request that usually takes `usualMs`. */
  start(place: number, usualMs: number): void;
  /**
   * Returns the factor by which later requests that go before a place lengthen a
   * wait, with a number of slots.
   */
  factor(place: number, slots: number): number;
}

/** Time in which the weight of a start falls to a half. */
const HALF_LIFE_MS = 500;
/** Least time between two updates of the weights. */
const DECAY_STEP_MS = 20;
/** Slot time in ms below which the starts in a place are dropped. */
const MIN_WEIGHT_MS = 1;
/** Bound of the factor. Longer estimates turn so many away that slots stay idle. */
const MAX_FACTOR = 4;

/** Creates a measurement without any starts. */
export function createOvertaking(timer: Timer): Overtaking {
  const startedMs = new Map<number, number>();
  let updatedAt = timer.now();

  function decay(): void {
    const elapsedMs = timer.now() - updatedAt;
    if (elapsedMs < DECAY_STEP_MS) {
      return;
    }
    updatedAt = timer.now();
    const weight = 0.5 ** (elapsedMs / HALF_LIFE_MS);
    for (const [place, ms] of startedMs) {
      if (ms * weight < MIN_WEIGHT_MS) {
        startedMs.delete(place);
      } else {
        startedMs.set(place, ms * weight);
      }
    }
  }

  return {
    start(place, usualMs) {
      decay();
      startedMs.set(place, (startedMs.get(place) ?? 0) + usualMs);
    },
    factor(place, slots) {
      decay();
      let aheadMs = 0;
      for (const [other, ms] of startedMs) {
        aheadMs += other < place ? ms : 0;
      }
      const share = aheadMs / (Math.max(1, slots) * HALF_LIFE_MS / Math.LN2);
      return 1 / Math.max(1 / MAX_FACTOR, 1 - share);
    },
  };
}
