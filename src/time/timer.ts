/**
 * The timer service that every part subscribes to, and waits built on it.
 * @module
 */
import { performance } from "node:perf_hooks";
import { TimeoutError } from "../core/errors.ts";

/** A running subscription to the timer service. */
export interface Subscription {
  /** Ends the subscription; calling it twice is harmless. */
  cancel(): void;
}

/**
 * Clock and timers of a process; a fake one can stop time.
 *
 * A process that was held up finds its timers due together with all that has
 * come meanwhile. It reads that first, so that nobody who waited takes what
 * lies unread for missing.
 */
export interface Timer {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Unix time in milliseconds; it may jump. */
  wallTime(): number;
  /** Calls `task` once after `delayMs`. */
  after(delayMs: number, task: () => void): Subscription;
  /** Calls `task` each `periodMs` until cancelled. */
  every(periodMs: number, task: () => void): Subscription;
}

/** Lateness of a timer from which the process counts as held up, in ms. */
const HELD_UP_MS = 20;

/** Runs a task that was due, after what has come is read if that was long ago. */
function runDue(task: () => void, dueAt: number): NodeJS.Immediate | undefined {
  if (performance.now() - dueAt < HELD_UP_MS) {
    task();
    return undefined;
  }
  // Immediates run once the sockets have been polled.
  return setImmediate(task);
}

/** Creates the timer service of a real process. */
export function createSystemTimer(): Timer {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    after(delayMs, task) {
      const dueAt = performance.now() + delayMs;
      let late: NodeJS.Immediate | undefined;
      const handle = setTimeout(() => {
        late = runDue(task, dueAt);
      }, delayMs);
      return {
        cancel() {
          clearTimeout(handle);
          clearImmediate(late);
        },
      };
    },
    every(periodMs, task) {
      let dueAt = performance.now() + periodMs;
      let late: NodeJS.Immediate | undefined;
      const handle = setInterval(() => {
        clearImmediate(late);
        late = runDue(task, dueAt);
        dueAt = performance.now() + periodMs;
      }, periodMs);
      return {
        cancel() {
          clearInterval(handle);
          clearImmediate(late);
        },
      };
    },
  };
}

/** Resolves after `delayMs`, or at once when `signal` aborts. */
export function sleep(
  timer: Timer,
  delayMs: number,
  options: { signal?: AbortSignal } = {},
): Promise<void> {
  const { signal } = options;
  if (signal?.aborted) {
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const subscription = timer.after(delayMs, () => {
      signal?.removeEventListener("abort", stop);
      resolve();
    });
    function stop(): void {
      subscription.cancel();
      resolve();
    }
    signal?.addEventListener("abort", stop, { once: true });
  });
}

/** What a wait was for, named in its {@link TimeoutError}. */
export interface Wait {
  /** Step that is waited for. */
  step: string;
  /** Peer that is waited for. */
  peer: string;
  /** Longest wait in milliseconds. */
  timeoutMs: number;
}

/** Settles like `promise`, or rejects with a {@link TimeoutError}. */
export function withTimeout<T>(
  timer: Timer,
  promise: Promise<T>,
  wait: Wait,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const subscription = timer.after(wait.timeoutMs, () => {
      reject(new TimeoutError(wait.step, wait.peer, wait.timeoutMs));
    });
    promise.then(
      (value) => {
        subscription.cancel();
        resolve(value);
      },
      (error) => {
        subscription.cancel();
        reject(error);
      },
    );
  });
}
