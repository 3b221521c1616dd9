/**
 * Primitives for asynchronous tasks: a serial queue, a condition that tasks
 * wait for, and a supervisor of tasks that are stopped together.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";

/** Runs asynchronous work one piece at a time, in the order of the calls. */
export interface SerialQueue {
  /** Runs `work` once all earlier work has succeeded or failed. */
  run<T>(work: () => Promise<T>): Promise<T>;
}

/** Creates a {@link SerialQueue}. */
export function createSerialQueue(): SerialQueue {
  let last: Promise<unknown> = Promise.resolve();
  return {
    run(work) {
      const result = last.then(work, work);
      last = result.catch(() => {});
      return result;
    },
  };
}

/** A condition that tasks wait for, with a timeout. */
export interface Condition {
  /** Wakes all waiting tasks. */
  notifyAll(): void;
  /** Resolves when waiting tasks are woken next, or after `timeoutMs`. */
  wait(timeoutMs: number): Promise<void>;
}

/** Creates a {@link Condition}. */
export function createCondition(timer: Timer): Condition {
  const waiting = new Set<() => void>();
  return {
    notifyAll() {
      for (const wake of [...waiting]) {
        wake();
      }
    },
    wait: (timeoutMs) =>
      new Promise((resolve) => {
        const timeout = timer.after(timeoutMs, wake);
        function wake(): void {
          timeout.cancel();
          waiting.delete(wake);
          resolve();
        }
        waiting.add(wake);
      }),
  };
}

/** Restarts tasks that fail, and stops all its tasks together. */
export interface Supervisor {
  /** Aborted when the supervisor stops. */
  readonly signal: AbortSignal;
  /**
   * Starts a task. A task that throws is reported and restarted after a pause;
   * a task that returns is not restarted.
   */
  start(name: string, task: (signal: AbortSignal) => Promise<void>): void;
  /** Creates a supervisor that stops with this one. */
  child(): Supervisor;
  /** Stops all tasks and waits until they have ended. */
  stop(): Promise<void>;
}

/** Options of {@link createSupervisor}. */
export interface SupervisorOptions {
  /** Timer for the pause before a restart. */
  timer: Timer;
  /** Receives the error of a task that threw. */
  report: (task: string, error: unknown) => void;
}

const RESTART_PAUSE_MS = 200;

/** Creates a supervisor without a parent; `child` creates those with one. */
export function createSupervisor(options: SupervisorOptions): Supervisor {
  const { timer, report } = options;
  const controller = new AbortController();
  const { signal } = controller;
  const running = new Set<Promise<void>>();
  const children: Supervisor[] = [];

  async function supervise(
    name: string,
    task: (signal: AbortSignal) => Promise<void>,
  ): Promise<void> {
    while (!signal.aborted) {
      try {
        await task(signal);
        return;
      } catch (error) {
        if (signal.aborted) {
          return;
        }
        report(name, error);
        await sleep(timer, RESTART_PAUSE_MS, { signal });
      }
    }
  }

  return {
    signal,
    start(name, task) {
      const run = supervise(name, task);
      running.add(run);
      run.finally(() => running.delete(run));
    },
    child() {
      const child = createSupervisor(options);
      children.push(child);
      return child;
    },
    async stop() {
      controller.abort();
      await Promise.all(children.map((child) => child.stop()));
      await Promise.all([...running]);
    },
  };
}
