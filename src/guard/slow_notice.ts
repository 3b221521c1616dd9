/**
 * Tells senders whose attempts have begun on a server that turned slow before
 * its guard knew. Work keeps the speed at which it begins, so that a second
 * attempt elsewhere, made at once, ends first.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { isSlow } from "./load_shedding.ts";

/** Watches the attempts that run. */
export interface SlowNotice {
  /** An attempt begins; call the result when it has ended. */
  begin(tell: () => void): () => void;
  /** The server has reported its present slowness. */
  report(slowness: number): void;
}

interface Begun {
  at: number;
  tell: () => void;
}

/** Creates a watch over no attempts. */
export function createSlowNotice(timer: Timer): SlowNotice {
  const running = new Set<Begun>();
  let fastAt = -Infinity;
  let slow = false;

  return {
    begin(tell) {
      const begun = { at: timer.now(), tell };
      running.add(begun);
      return () => running.delete(begun);
    },
    report(slowness) {
      const turned = isSlow(slowness) && !slow;
      slow = isSlow(slowness);
      if (turned) {
        // Where a report of speed came after the start, the start was fast.
        const suspects = [...running].filter(({ at }) => at >= fastAt);
        suspects.forEach(({ tell }) => tell());
      }
      if (!slow) {
        fastAt = timer.now();
      }
    },
  };
}
