/**
 * Freezes one process on a test's clock: time goes on, but nothing in the
 * process runs until it thaws.
 * @module
 */
import type { Subscription, Timer } from "../../src/time/timer.ts";

/** Freezes and thaws one process. */
export interface Freezer {
  /** The timer service of the process. */
  readonly timer: Timer;
  readonly frozen: boolean;
  /** Tasks of its timers that have run. */
  readonly wakeUps: number;
  freeze(): void;
  thaw(): void;
}

/** Creates a freezer that is not frozen. */
export function createFreezer(timer: Timer): Freezer {
  let frozen = false;
  let held: (() => void)[] = [];
  let wakeUps = 0;

  function run(task: () => void): void {
    if (frozen) {
      held.push(task);
    } else {
      wakeUps++;
      task();
    }
  }

  function holdBack(task: () => void): {
    task: () => void;
    cancel: () => void;
  } {
    let cancelled = false;
    return {
      task: () => run(() => cancelled || task()),
      cancel: () => {
        cancelled = true;
      },
    };
  }

  function wrap(
    subscribe: (task: () => void) => Subscription,
    task: () => void,
  ): Subscription {
    const guarded = holdBack(task);
    const subscription = subscribe(guarded.task);
    return {
      cancel() {
        guarded.cancel();
        subscription.cancel();
      },
    };
  }

  return {
    timer: {
      now: timer.now,
      wallTime: timer.wallTime,
      after: (delayMs, task) =>
        wrap((guarded) => timer.after(delayMs, guarded), task),
      every: (periodMs, task) =>
        wrap((guarded) => timer.every(periodMs, guarded), task),
    },
    get frozen() {
      return frozen;
    },
    get wakeUps() {
      return wakeUps;
    },
    freeze() {
      frozen = true;
    },
    thaw() {
      frozen = false;
      const tasks = held;
      held = [];
      tasks.forEach(run);
    },
  };
}
