/**
 * The state machine that a replicated log drives.
 * @module
 */

/** One committed command and its position in the log. */
export interface AppliedEntry {
  /** Position in the log, which increases with each applied entry. */
  index: number;
  /**
   * Total time for which leaders have led so far, in milliseconds. It never
   * decreases, since it does not depend on any wall clock.
   */
  logTime: number;
  command: unknown;
}

/**
 * A state machine, whose state changes only when committed entries are applied
 * in order.
 */
export interface StateMachine {
  /**
   * Checks a command ahead of its entry, which may never be committed, and
   * returns the command to apply. Throws if `apply` would not accept it.
   */
  prepare?(command: unknown): unknown;
  /** Applies an entry and returns its result for the proposer. */
  apply(entry: AppliedEntry): unknown;
  /** Returns the whole state as bytes. */
  snapshot(): Uint8Array;
  /** Returns to the state before the first entry. */
  reset(): void;
  /** Replaces the whole state. */
  restore(bytes: Uint8Array): void;
}
