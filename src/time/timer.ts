/**
 * The timer service of a process, and delays and timeouts based on it.
 * @module
 */
import { performance } from "node:perf_hooks";
import { TimeoutError } from "../core/errors.ts";

/** A pending timer. */
export interface Subscription {
  /** Cancels the timer; calling it again has no effect. */
  cancel(): void;
}

/**
 * Clock and timers of a process.
 *
 * After a stall of the process its timers are due at the same time as its
 * sockets have pending input. The input is read before overdue timers run, so
 * that a timeout is not reported for an answer that has already arrived.
 */
export interface Timer {
  /** Monotonic time in milliseconds. */
  now(): number;
  /** Unix time in milliseconds; clock adjustments may shift it. */
  wallTime(): number;
  /** Calls `task` once after `delayMs`. */
  after(delayMs: number, task: () => void): Subscription;
  /** Calls `task` every `periodMs` until cancelled. */
  every(periodMs: number, task: () => void): Subscription;
}

/** Delay of a timer from which the process counts as stalled. */
const STALL_THRESHOLD_MS = 20;

/** Runs a due task, after pending input is read if the process was stalled. */
function runOrDefer(
  task: () => void,
  dueAt: number,
): NodeJS.Immediate | undefined {
  if (performance.now() - dueAt < STALL_THRESHOLD_MS) {
    task();
    return undefined;
  }
  // Immediates run after the sockets have been polled.
  return setImmediate(task);
}

/** Creates a timer service on the system clock. */
export function createSystemTimer(): Timer {
  return {
    now: () => performance.now(),
    wallTime: () => Date.now(),
    after(delayMs, task) {
      const dueAt = performance.now() + delayMs;
      let deferred: NodeJS.Immediate | undefined;
      const handle = setTimeout(() => {
        deferred = runOrDefer(task, dueAt);
      }, delayMs);
      return {
        cancel() {
          clearTimeout(handle);
          clearImmediate(deferred);
        },
      };
    },
    every(periodMs, task) {
      let dueAt = performance.now() + periodMs;
      let deferred: NodeJS.Immediate | undefined;
      const handle = setInterval(() => {
        clearImmediate(deferred);
        deferred = runOrDefer(task, dueAt);
        dueAt = performance.now() + periodMs;
      }, periodMs);
      return {
        cancel() {
          clearInterval(handle);
          clearImmediate(deferred);
        },
      };
    },
  };
}

/** Resolves after `delayMs`, or immediately when `signal` aborts. */
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

/** Options of {@link withTimeout}. */
export interface TimeoutOptions {
  /** Name of the step that may time out. */
  step: string;
  /** Address of the peer. */
  peer: string;
  /** Longest wait in milliseconds. */
  timeoutMs: number;
}

/** Settles like `promise`, or rejects with a {@link TimeoutError}. */
export function withTimeout<T>(
  timer: Timer,
  promise: Promise<T>,
  options: TimeoutOptions,
): Promise<T> {
  return new Promise((resolve, reject) => {
    const subscription = timer.after(options.timeoutMs, () => {
      reject(new TimeoutError(options.step, options.peer, options.timeoutMs));
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
