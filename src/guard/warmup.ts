/**
 * Limits for a backend server that is warming up.
 * @module
 */

/** How one request ended at the backend server. */
export interface Completion {
  /** Class of the request; latencies are only compared within a class. */
  class: string;
  /** Time that the backend server took to answer, in milliseconds. */
  latencyMs: number;
  /** Whether the backend server answered without a server error. */
  ok: boolean;
  /** Monotonic time at which the request ended, in milliseconds. */
  endedAt: number;
}

/** Warm-up state of one backend server. */
export interface Warmup {
  /** Number of requests that may run at once. */
  readonly allowed: number;
  /** Whether the server is still warming up. */
  readonly cold: boolean;
  /** Time until one more request may start, in milliseconds. */
  readonly pauseMs: number;
  /**
   * Time between two starts while the server limits its rate, in milliseconds.
   */
  readonly startIntervalMs?: number;
  /** Counts the start of a request. */
  started(): void;
  /** Evaluates a completion; returns whether the server turned cold. */
  complete(completion: Completion): boolean;
  /** Treats the server as cold from now on. */
  reset(): void;
  /** Applies the server's own report of how long it stays cold; 0 if warm. */
  noteCold(coldMs: number): void;
}
