/**
 * Cancellation on the request path. The platform's abort signals create an
 * error with a stack for each abort, which costs more than the rest of a call.
 * @module
 */

/** Tells whether work is no longer wanted. */
export interface Cancellation {
  /** Whether the work is no longer wanted. */
  readonly cancelled: boolean;
  /** Calls `listener` once on cancellation; returns what takes it back. */
  onCancel(listener: () => void): () => void;
}

/** A cancellation and the power over it. */
export interface Canceller extends Cancellation {
  /** Says that the work is no longer wanted; twice is harmless. */
  cancel(): void;
}

/** Creates a canceller. */
export function createCanceller(): Canceller {
  const listeners = new Set<() => void>();
  let cancelled = false;
  return {
    get cancelled() {
      return cancelled;
    },
    onCancel(listener) {
      if (cancelled) {
        listener();
        return () => {};
      }
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    cancel() {
      if (cancelled) {
        return;
      }
      cancelled = true;
      listeners.forEach((listener) => listener());
      listeners.clear();
    },
  };
}

/** Work that is wanted to its end. */
export const neverCancelled: Cancellation = {
  cancelled: false,
  onCancel: () => () => {},
};
