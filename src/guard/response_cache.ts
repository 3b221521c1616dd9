/**
 * Cache of the results of attempts, for an ingress that lost its connection to
 * the guard and for a caller that sends its request again.
 * @module
 */
import type { Answer, AttemptId, Failed } from "../network/frames.ts";
import { attemptKey } from "./attempt_ledger.ts";

/** A result that the cache holds. */
export type CachedResult = Answer | Failed;

/** Cache of results, limited in bytes. */
export interface ResponseCache {
  /** Size of all cached results in bytes. */
  readonly bytes: number;
  /** Caches a result and evicts the oldest ones beyond the limit. */
  store(result: CachedResult): void;
  /** Returns the result of an attempt, if it is still cached. */
  get(attempt: AttemptId): CachedResult | undefined;
}

/** Memory counted for each result beside its body. */
const OVERHEAD_BYTES = 512;

function sizeOf(result: CachedResult): number {
  return OVERHEAD_BYTES +
    (result.kind === "answer" ? result.body.length : 0);
}

/** Creates an empty cache that evicts its oldest results first. */
export function createResponseCache(maxBytes: number): ResponseCache {
  const results = new Map<string, CachedResult>();
  let bytes = 0;

  return {
    get bytes() {
      return bytes;
    },
    store(result) {
      results.set(attemptKey(result.attempt), result);
      bytes += sizeOf(result);
      for (const [key, oldest] of results) {
        if (bytes <= maxBytes) {
          return;
        }
        results.delete(key);
        bytes -= sizeOf(oldest);
      }
    },
    get: (attempt) => results.get(attemptKey(attempt)),
  };
}
