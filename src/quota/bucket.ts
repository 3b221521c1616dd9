/**
 * The token bucket of one workspace at its owner. It counts what callers send
 * and what arrives at backend servers apart: a retry uses a token of the second
 * kind only, and is charged after it was made, so that this kind may be in debt.
 * @module
 */
import type { BucketSize, QuotaBounds } from "./bounds.ts";

/** Token bucket of a workspace. All times are monotonic, in milliseconds. */
export interface QuotaBucket {
  /**
   * Adds the tokens of the time since the last call. `share` is the part of the
   * limit that this bucket gives out.
   */
  advance(now: number, options: { bounds: QuotaBounds; share: number }): void;
  /** Removes all tokens. */
  drain(now: number): void;
  /**
   * Takes up to `count` tokens and returns how many; with `reserveMs`, only those
   * beyond what the limit gives out in that time, or beyond half of the capacity.
   */
  take(count: number, reserveMs?: number): number;
  /** Charges arrivals beyond the first; a negative number gives tokens back. */
  charge(arrivals: number): void;
  /** Returns the time until a token is there, if nothing else takes one. */
  waitMs(share: number): number;
  /** Returns how full the bucket is, at most 1. */
  fill(share: number): number;
  /** Returns the time until the bucket is full, if nothing takes tokens. */
  fullAfterMs(share: number): number;
}

/**
 * Rate, relative to the limit, of the bucket of an owner whose predecessor may
 * still be asked.
 */
const SUCCESSOR_RATE = 0.5;
/**
 * Time in which nodes may still ask the previous owner. It is the usual interval
 * at which nodes fetch the members.
 */
export const SUCCESSION_MS = 1_000;
/** Longest debt, as a multiple of the capacity. */
const MAX_DEBT = 4;

interface Level {
  tokens: number;
  /** Tokens with which it started, which it may keep whatever its share. */
  start: number;
  size: BucketSize;
}

function refill(
  level: Level,
  options: { size: BucketSize; share: number; elapsedMs: number },
): void {
  const { size, share, elapsedMs } = options;
  // A raised burst is there at once; a lowered one binds at once.
  const raised = Math.max(0, size.capacity - level.size.capacity);
  level.tokens = Math.min(
    Math.max(1, level.start, size.capacity * share),
    level.tokens + (raised + elapsedMs * size.perMs) * share,
  );
  level.size = size;
}

/**
 * Creates the bucket of a node that decides since `startedAt`. It starts as if
 * its predecessor had given out everything, with `startShare` of the tokens that
 * are kept for this case. `succeeds` says that the predecessor may still be asked.
 */
export function createQuotaBucket(
  startedAt: number,
  options: { bounds: QuotaBounds; startShare: number; succeeds: boolean },
): QuotaBucket {
  const { bounds, startShare, succeeds } = options;
  const { initial, sent, arrived } = bounds;
  let updatedAt = startedAt;
  let latestShare = 1;
  const levels = [sent, arrived].map((size): Level => {
    const start = Math.min(initial, size.capacity) * startShare;
    return { tokens: start, start, size };
  });
  const [sentLevel, arrivedLevel] = levels;

  const succeededAt = startedAt + (succeeds ? SUCCESSION_MS : 0);

  /** Returns the elapsed time, in which that of the succession counts less. */
  function countedMs(now: number): number {
    const sharedMs = Math.min(now, succeededAt) -
      Math.min(updatedAt, succeededAt);
    return now - updatedAt - sharedMs * (1 - SUCCESSOR_RATE);
  }

  return {
    advance(now, { bounds, share }) {
      const elapsedMs = Math.max(0, countedMs(now));
      updatedAt = Math.max(updatedAt, now);
      latestShare = share;
      refill(sentLevel, { size: bounds.sent, share, elapsedMs });
      refill(arrivedLevel, { size: bounds.arrived, share, elapsedMs });
    },
    drain(now) {
      updatedAt = Math.max(updatedAt, now);
      levels.forEach((level) => {
        level.tokens = Math.min(0, level.tokens);
      });
    },
    take(count, reserveMs = 0) {
      const { perMs, capacity } = sentLevel.size;
      const reserve = Math.min(reserveMs * perMs, capacity / 2) * latestShare;
      const available = Math.min(sentLevel.tokens, arrivedLevel.tokens) -
        reserve;
      const taken = Math.max(0, Math.min(count, Math.floor(available)));
      levels.forEach((level) => level.tokens -= taken);
      return taken;
    },
    charge(arrivals) {
      if (arrivals < 0) {
        sentLevel.tokens = Math.min(
          sentLevel.size.capacity,
          sentLevel.tokens - arrivals,
        );
      }
      arrivedLevel.tokens = Math.min(
        arrivedLevel.size.capacity,
        Math.max(
          -MAX_DEBT * arrivedLevel.size.capacity,
          arrivedLevel.tokens - arrivals,
        ),
      );
    },
    waitMs(share) {
      const waits = levels.map(({ tokens, size }) =>
        Math.max(0, 1 - tokens) / (size.perMs * share)
      );
      return Math.max(...waits);
    },
    fill(share) {
      const fills = levels.map(({ tokens, size }) =>
        tokens / (size.capacity * share)
      );
      return Math.min(1, ...fills);
    },
    fullAfterMs(share) {
      const times = levels.map(({ tokens, size }) =>
        (size.capacity - tokens) / (size.perMs * share)
      );
      return Math.max(...times) + SUCCESSION_MS;
    },
  };
}
