/**
 * How old a node's view may be. A key that a version withdraws is refused in time
 * only by a node that knows whether it has heard of the version, also after its
 * process stood still.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** A sync with control that is in progress. */
export interface SyncAttempt {
  /** The view has everything accepted up to `stalenessMs` before the attempt. */
  succeed(stalenessMs: number): void;
  /** Control did not answer, or only a replica without contact to a leader. */
  fail(): void;
}

/** How old a node's view may be. */
export interface ViewAge {
  /** Time since the view was certainly current, `Infinity` before the first. */
  readonly ms: number;
  /** Time since the start of the last sync that failed; `Infinity` for none. */
  readonly failedMs: number;
  /** Notes that a sync begins. */
  begin(): SyncAttempt;
}

/** A point in time on both clocks. */
interface Instant {
  now: number;
  wallTime: number;
}

/** Creates the age of a view that was not received yet. */
export function createViewAge(timer: Timer): ViewAge {
  let current: Instant | undefined;
  let failed: Instant | undefined;

  function read(): Instant {
    return { now: timer.now(), wallTime: timer.wallTime() };
  }

  /**
   * Returns the time since an instant. The monotonic clock stands still while a VM
   * is suspended, and the other one may be set back, so the longer time counts.
   */
  function since(instant: Instant | undefined): number {
    return instant === undefined ? Infinity : Math.max(
      timer.now() - instant.now,
      timer.wallTime() - instant.wallTime,
    );
  }

  return {
    get ms() {
      return since(current);
    },
    get failedMs() {
      return since(failed);
    },
    begin() {
      const startedAt = read();
      return {
        succeed(stalenessMs) {
          const asOf = {
            now: startedAt.now - stalenessMs,
            wallTime: startedAt.wallTime - stalenessMs,
          };
          if (current === undefined || asOf.now > current.now) {
            current = asOf;
          }
        },
        fail() {
          failed = startedAt;
        },
      };
    },
  };
}
