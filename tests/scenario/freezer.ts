/**
 * Freezes a simulated process: time advances, but no timer task of the process
 * runs until it thaws.
 * @module
 */
import type { Subscription, Timer } from "../../src/time/timer.ts";

/** Freezes and thaws a simulated process. */
export interface Freezer {
  /** Timer for the process; its tasks wait while the process is frozen. */
  readonly timer: Timer;
  readonly frozen: boolean;
  /** Number of timer tasks that have run. */
  readonly wakeUps: number;
  freeze(): void;
  thaw(): void;
}

/** Creates a freezer for a process that runs. */
export function createFreezer(timer: Timer): Freezer {
  let frozen = false;
  let deferred: (() => void)[] = [];
  let wakeUps = 0;

  function run(task: () => void): void {
    if (frozen) {
      deferred.push(task);
    } else {
      wakeUps++;
      task();
    }
  }

  function deferWhileFrozen(task: () => void): {
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
    const deferrable = deferWhileFrozen(task);
    const subscription = subscribe(deferrable.task);
    return {
      cancel() {
        deferrable.cancel();
        subscription.cancel();
      },
    };
  }

  return {
    timer: {
      now: timer.now,
      wallTime: timer.wallTime,
      after: (delayMs, task) =>
        wrap((deferrable) => timer.after(delayMs, deferrable), task),
      every: (periodMs, task) =>
        wrap((deferrable) => timer.every(periodMs, deferrable), task),
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
      const tasks = deferred;
      deferred = [];
      tasks.forEach(run);
    },
  };
}
