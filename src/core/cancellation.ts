/**
 * Cancellation on the request path. It replaces `AbortSignal`, which creates an
 * error with a stack trace for each abort; that costs more than the rest of a
 * call.
 * @module
 */

/** A signal that work has been cancelled. */
export interface Cancellation {
  /** Whether the work has been cancelled. */
  readonly cancelled: boolean;
  /**
   * Calls `listener` on cancellation, or at once if the work is cancelled
   * already. Returns a function that removes the listener.
   */
  onCancel(listener: () => void): () => void;
}

/** A cancellation together with the means to trigger it. */
export interface Canceller extends Cancellation {
  /** Cancels the work; further calls have no effect. */
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

/** The cancellation of work that is never cancelled. */
export const neverCancelled: Cancellation = {
  cancelled: false,
  onCancel: () => () => {},
};
