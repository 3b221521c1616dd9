/**
 * Signs of life on channels whose senders wait for an end: one timer for all,
 * since most attempts end before the first sign is due.
 * @module
 */
import type { Channel } from "../network/channel.ts";
import type { Subscription, Timer } from "../time/timer.ts";

/** Shows senders that their attempts go on. */
export interface SignsOfLife {
  /** Shows it on a channel until the returned function is called. */
  show(channel: Channel): () => void;
}

/** Looks in the longest time without a sign; what ends sooner needs none. */
const LOOKS_PER_SIGN = 2;

/** Creates it; at most `periodMs` go by without a sign. */
export function createSignsOfLife(
  timer: Timer,
  periodMs: () => number,
): SignsOfLife {
  const waiting = new Set<{ channel: Channel; looks: number }>();
  let looking: Subscription | undefined;

  function look(): void {
    looking = undefined;
    for (const one of waiting) {
      one.looks++;
      if (one.looks % LOOKS_PER_SIGN === 0) {
        void one.channel.send({ kind: "pong" }).catch(() => {});
      }
    }
    lookLater();
  }

  function lookLater(): void {
    if (!looking && waiting.size > 0) {
      looking = timer.after(periodMs() / LOOKS_PER_SIGN, look);
    }
  }

  return {
    show(channel) {
      const one = { channel, looks: 0 };
      waiting.add(one);
      lookLater();
      return () => void waiting.delete(one);
    },
  };
}
