/**
 * Queries to control about keys that a node does not know. A new key is accepted at
 * once, and a flood of false keys costs control four queries a second and node: all
 * requests that wait share one, and the number of them is limited.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Shared queries to control. */
export interface KeyQuery {
  /**
   * Resolves with true once control has confirmed, by a query that began after this
   * call, that the node knows all keys, or once `isAnswered` is true after a sync;
   * with false if neither is to be had soon.
   */
  run(isAnswered?: () => boolean): Promise<boolean>;
  /** Called after each sync: ends the waits that are answered. */
  recheck(): void;
}

/** Options of {@link createKeyQuery}. */
export interface KeyQueryOptions {
  timer: Timer;
  /** Fetches what is new from control; resolves with whether a quorum did. */
  confirm: () => Promise<boolean>;
  /** Called for each query. */
  onQuery: () => void;
}

/** Shortest time between the starts of two queries, in milliseconds. */
export const QUERY_INTERVAL_MS = 250;
/** Longest wait of a request for a query, in milliseconds. */
export const MAX_QUERY_WAIT_MS = 600;
/** Largest number of requests that wait. */
export const MAX_WAITING = 100;

/** A request that waits. */
interface Waiting {
  isAnswered: () => boolean;
  /** Ends the wait; later calls have no effect. */
  settle(confirmed: boolean): void;
}

/** Creates queries to control. */
export function createKeyQuery(options: KeyQueryOptions): KeyQuery {
  const { timer, confirm, onQuery } = options;
  /** Requests that the next query serves. */
  let next: Waiting[] = [];
  const waiting = new Set<Waiting>();
  let startedAt = -Infinity;
  let scheduled = false;
  let running = false;

  function schedule(): void {
    if (scheduled || running || next.length === 0) {
      return;
    }
    const delayMs = startedAt + QUERY_INTERVAL_MS - timer.now();
    if (delayMs <= 0) {
      void start();
      return;
    }
    scheduled = true;
    timer.after(delayMs, () => {
      scheduled = false;
      schedule();
    });
  }

  async function start(): Promise<void> {
    const served = next;
    next = [];
    running = true;
    startedAt = timer.now();
    onQuery();
    const confirmed = await confirm().catch(() => false);
    running = false;
    served.forEach(({ settle }) => settle(confirmed));
    schedule();
  }

  /** Whether control has not answered for so long that waiting is in vain. */
  function isHanging(): boolean {
    return running && timer.now() - startedAt > MAX_QUERY_WAIT_MS;
  }

  return {
    run(isAnswered = () => false) {
      if (waiting.size >= MAX_WAITING || isHanging()) {
        return Promise.resolve(false);
      }
      return new Promise((resolve) => {
        const timeout = timer.after(
          MAX_QUERY_WAIT_MS,
          () => entry.settle(false),
        );
        const entry: Waiting = {
          isAnswered,
          settle(confirmed) {
            waiting.delete(entry);
            timeout.cancel();
            resolve(confirmed);
          },
        };
        waiting.add(entry);
        next.push(entry);
        schedule();
      });
    },
    recheck() {
      for (const entry of [...waiting]) {
        if (entry.isAnswered()) {
          entry.settle(true);
        }
      }
    },
  };
}
