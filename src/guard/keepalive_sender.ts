/**
 * Keepalives on channels whose senders wait for a result. All channels share
 * one timer, since most attempts end before their first keepalive is due.
 * @module
 */
import type { Channel } from "../network/channel.ts";
import type { Subscription, Timer } from "../time/timer.ts";

/** Sends keepalives to senders whose attempts are queued or run. */
export interface KeepaliveSender {
  /** Sends keepalives on a channel until the returned function is called. */
  start(channel: Channel): () => void;
}

/**
 * Timer ticks per keepalive period. No keepalive is sent for an attempt that
 * ends before its second tick.
 */
const TICKS_PER_KEEPALIVE = 2;

/** Creates a sender that lets at most `periodMs` pass between keepalives. */
export function createKeepaliveSender(
  timer: Timer,
  periodMs: () => number,
): KeepaliveSender {
  const waiting = new Set<{ channel: Channel; ticks: number }>();
  let nextTick: Subscription | undefined;

  function tick(): void {
    nextTick = undefined;
    for (const entry of waiting) {
      entry.ticks++;
      if (entry.ticks % TICKS_PER_KEEPALIVE === 0) {
        void entry.channel.send({ kind: "pong" }).catch(() => {});
      }
    }
    scheduleTick();
  }

  function scheduleTick(): void {
    if (!nextTick && waiting.size > 0) {
      nextTick = timer.after(periodMs() / TICKS_PER_KEEPALIVE, tick);
    }
  }

  return {
    start(channel) {
      const entry = { channel, ticks: 0 };
      waiting.add(entry);
      scheduleTick();
      return () => void waiting.delete(entry);
    },
  };
}
