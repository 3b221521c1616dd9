/**
 * Ends of attempts that a guard keeps for a while, so that an ingress that
 * lost its connection, or a caller that resends, can have them again.
 * @module
 */
import type { Answer, AttemptId, Failed } from "../network/frames.ts";
import { attemptKey } from "./attempt_ledger.ts";

/** How an attempt ended. */
export type KeptEnd = Answer | Failed;

/** Ends of attempts, kept within a bound of bytes. */
export interface ResponseCache {
  /** Bytes held. */
  readonly bytes: number;
  /** Keeps an end. */
  keep(ending: KeptEnd): void;
  /** Returns an end that is still kept. */
  get(attempt: AttemptId): KeptEnd | undefined;
}

const OVERHEAD_BYTES = 512;

function sizeOf(ending: KeptEnd): number {
  return OVERHEAD_BYTES +
    (ending.kind === "answer" ? ending.body.length : 0);
}

/** Creates an empty store; the oldest ends make room for new ones. */
export function createResponseCache(maxBytes: number): ResponseCache {
  const endings = new Map<string, KeptEnd>();
  let bytes = 0;

  return {
    get bytes() {
      return bytes;
    },
    keep(ending) {
      endings.set(attemptKey(ending.attempt), ending);
      bytes += sizeOf(ending);
      for (const [key, oldest] of endings) {
        if (bytes <= maxBytes) {
          return;
        }
        endings.delete(key);
        bytes -= sizeOf(oldest);
      }
    },
    get: (attempt) => endings.get(attemptKey(attempt)),
  };
}
