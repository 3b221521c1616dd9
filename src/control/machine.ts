/**
 * What a replicated log drives.
 * @module
 */

/** One committed command with its place in the log. */
export interface AppliedEntry {
  /** Place in the log; it only rises. */
  index: number;
  /** Time of leadership so far in milliseconds; no clock can move it back. */
  logTime: number;
  /** The command. */
  command: unknown;
}

/** A state that changes only by applying committed entries, in order. */
export interface Machine {
  /** Applies an entry and returns its result for the proposer. */
  apply(entry: AppliedEntry): unknown;
  /** Returns the whole state as bytes. */
  snapshot(): Uint8Array;
  /** Returns to the state before the first entry. */
  reset(): void;
  /** Replaces the whole state. */
  restore(bytes: Uint8Array): void;
}
