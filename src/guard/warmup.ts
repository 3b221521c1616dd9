/**
 * What a backend server that is not warm may be given.
 * @module
 */

/** How one request ended at the backend server. */
export interface Completion {
  /** Class of the request; latencies are compared within a class. */
  class: string;
  /** Time that the backend server took, in milliseconds. */
  latencyMs: number;
  /** Whether it answered without an error of its own. */
  ok: boolean;
  /** Monotonic time of its end, in milliseconds. */
  endedAt: number;
}

/** The work that a backend server is trusted with. */
export interface Warmup {
  /** Requests that may run at once. */
  readonly allowed: number;
  /** Whether the server is not trusted with its full work. */
  readonly cold: boolean;
  /** Time until one more request may start, in milliseconds. */
  readonly pauseMs: number;
  /** Notes that a request starts. */
  started(): void;
  /** Learns from a completion; returns whether the server turned cold. */
  complete(completion: Completion): boolean;
  /** Takes the server for cold from now on. */
  reset(): void;
  /** The server itself says for how long it stays cold; 0 if it is warm. */
  noteCold(coldMs: number): void;
}
