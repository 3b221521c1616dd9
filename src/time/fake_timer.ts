/**
 * A timer service whose time advances only when a test advances it.
 * @module
 */
import type { Subscription, Timer } from "./timer.ts";

interface Entry {
  dueAt: number;
  order: number;
  task: () => void;
  cancelled: boolean;
}

/** A {@link Timer} that a test advances. */
export interface FakeTimer extends Timer {
  /** Advances time by `durationMs` and runs due tasks in order. */
  advance(durationMs: number): Promise<void>;
  /** Shifts wall time only, as a clock adjustment does. */
  jumpWallTime(offsetMs: number): void;
}

/** Resolves after all promises that can settle now have settled. */
export function flushPromises(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Creates a fake timer that starts at time 0. */
export function createFakeTimer(startWallTime = 1_700_000_000_000): FakeTimer {
  let now = 0;
  let order = 0;
  let wallOffsetMs = startWallTime;
  const entries: Entry[] = [];

  function isBefore(one: Entry, other: Entry): boolean {
    return one.dueAt < other.dueAt ||
      (one.dueAt === other.dueAt && one.order < other.order);
  }

  /** Inserts into a binary heap with the earliest entry first. */
  function insert(entry: Entry): void {
    let index = entries.push(entry) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isBefore(entry, entries[parent])) {
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
      if (right < entries.length && isBefore(entries[right], entries[child])) {
        child = right;
      }
      if (!isBefore(entries[child], last)) {
        break;
      }
      entries[index] = entries[child];
      index = child;
    }
    entries[index] = last;
  }

  /** Removes cancelled entries and returns the earliest of the others. */
  function peekFirst(): Entry | undefined {
    while (entries.length > 0 && entries[0].cancelled) {
      removeFirst();
    }
    return entries[0];
  }

  function after(delayMs: number, task: () => void): Subscription {
    const entry: Entry = {
      dueAt: now + Math.max(0, delayMs),
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
    await flushPromises();
    while (true) {
      const entry = peekFirst();
      if (!entry || entry.dueAt > end) {
        break;
      }
      removeFirst();
      now = Math.max(now, entry.dueAt);
      entry.task();
      await flushPromises();
    }
    now = end;
  }

  return {
    now: () => now,
    wallTime: () => wallOffsetMs + now,
    after,
    every,
    advance,
    jumpWallTime(offsetMs) {
      wallOffsetMs += offsetMs;
    },
  };
}
