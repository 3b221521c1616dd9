/**
 * A timer service whose time moves only when a test says so.
 * @module
 */
import type { Subscription, Timer } from "./timer.ts";

interface Entry {
  at: number;
  order: number;
  task: () => void;
  cancelled: boolean;
}

/** A {@link Timer} under a test's control. */
export interface FakeTimer extends Timer {
  /** Moves time on by `durationMs`, running what falls due in order. */
  advance(durationMs: number): Promise<void>;
  /** Moves wall time alone, as a clock correction would. */
  jumpWallTime(offsetMs: number): void;
}

/** Lets every promise that can settle do so. */
export function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Creates a fake timer that starts at time 0. */
export function createFakeTimer(startWallTime = 1_700_000_000_000): FakeTimer {
  let now = 0;
  let order = 0;
  let wallOffset = startWallTime;
  const entries: Entry[] = [];

  function before(one: Entry, other: Entry): boolean {
    return one.at < other.at ||
      (one.at === other.at && one.order < other.order);
  }

  /** Adds to a binary heap with the earliest entry first. */
  function insert(entry: Entry): void {
    let index = entries.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!before(entry, entries[parent])) {
        break;
      }
      entries[index] = entries[parent];
      index = parent;
    }
    entries[index] = entry;
  }

  /** Removes the earliest entry of the heap. */
  function removeFirst(): void {
    const last = entries.pop()!;
    if (entries.length === 0) {
      return;
    }
    let index = 0;
    while (true) {
      let child = 2 * index + 1;
      if (child >= entries.length) {
        break;
      }
      const right = child + 1;
      if (right < entries.length && before(entries[right], entries[child])) {
        child = right;
      }
      if (!before(entries[child], last)) {
        break;
      }
      entries[index] = entries[child];
      index = child;
    }
    entries[index] = last;
  }

  /** Returns the earliest entry that was not cancelled. */
  function first(): Entry | undefined {
    while (entries.length > 0 && entries[0].cancelled) {
      removeFirst();
    }
    return entries[0];
  }

  function after(delayMs: number, task: () => void): Subscription {
    const entry: Entry = {
      at: now + Math.max(0, delayMs),
      order: order++,
      task,
      cancelled: false,
    };
    insert(entry);
    return {
      cancel() {
        entry.cancelled = true;
      },
    };
  }

  function every(periodMs: number, task: () => void): Subscription {
    let current = after(periodMs, tick);
    function tick(): void {
      current = after(periodMs, tick);
      task();
    }
    return { cancel: () => current.cancel() };
  }

  async function advance(durationMs: number): Promise<void> {
    const end = now + durationMs;
    await settle();
    while (true) {
      const entry = first();
      if (!entry || entry.at > end) {
        break;
      }
      removeFirst();
      now = Math.max(now, entry.at);
      entry.task();
      await settle();
    }
    now = end;
  }

  return {
    now: () => now,
    wallTime: () => wallOffset + now,
    after,
    every,
    advance,
    jumpWallTime(offsetMs) {
      wallOffset += offsetMs;
    },
  };
}
