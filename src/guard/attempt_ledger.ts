/**
 * States of the attempts at a guard. They ensure that no attempt starts twice,
 * that none starts after it was fenced, and that an attempt is reported as not
 * started only if that is certain.
 * @module
 */
import type { AttemptId, FenceState } from "../network/frames.ts";

/** State of an attempt. */
export type AttemptState = "fenced" | "running" | "finished" | "failed";

/** Bounded record of the states of attempts. */
export interface AttemptLedger {
  /** Number of attempts whose state is kept. */
  readonly size: number;
  /**
   * Marks an attempt as running. Returns `started`, `fenced` if the attempt
   * must never start, or `known` if it has started before or its state may have
   * been dropped.
   */
  start(attempt: AttemptId): "started" | "fenced" | "known";
  /** Sets the state of an attempt that was started. */
  set(attempt: AttemptId, state: AttemptState): void;
  /** Returns the state of an attempt, if it is kept. */
  get(attempt: AttemptId): AttemptState | undefined;
  /**
   * Ensures that an attempt which has not started never starts. Returns the
   * state of the attempt, or `forgotten` if that may have been dropped.
   */
  fence(attempt: AttemptId): FenceState;
}

/** Returns the key of an attempt for use in maps. */
export function attemptKey(attempt: AttemptId): string {
  return `${attempt.source} ${attempt.order}`;
}

/**
 * Creates a ledger that, beyond `capacity` attempts, drops the oldest ones that
 * are not running. It keeps the highest dropped order of each source, so that a
 * dropped attempt never counts as not started.
 */
export function createAttemptLedger(capacity: number): AttemptLedger {
  const states = new Map<string, { id: AttemptId; state: AttemptState }>();
  const forgottenUpTo = new Map<string, number>();

  function isForgotten(attempt: AttemptId): boolean {
    return attempt.order <= (forgottenUpTo.get(attempt.source) ?? -1);
  }

  function forgetOldest(): void {
    for (const [key, { id, state }] of states) {
      if (states.size <= capacity) {
        return;
      }
      if (state === "running") {
        continue;
      }
      states.delete(key);
      const earlier = forgottenUpTo.get(id.source) ?? -1;
      forgottenUpTo.set(id.source, Math.max(earlier, id.order));
    }
  }

  function set(attempt: AttemptId, state: AttemptState): void {
    states.set(attemptKey(attempt), { id: attempt, state });
    forgetOldest();
  }

  return {
    get size() {
      return states.size;
    },
    start(attempt) {
      const known = states.get(attemptKey(attempt))?.state;
      if (known === "fenced") {
        return "fenced";
      }
      if (known !== undefined || isForgotten(attempt)) {
        return "known";
      }
      set(attempt, "running");
      return "started";
    },
    set,
    get: (attempt) => states.get(attemptKey(attempt))?.state,
    fence(attempt) {
      const known = states.get(attemptKey(attempt))?.state;
      if (known !== undefined) {
        return known;
      }
      if (isForgotten(attempt)) {
        return "forgotten";
      }
      set(attempt, "fenced");
      return "fenced";
    },
  };
}
