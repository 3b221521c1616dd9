/**
 * The decisions of a node about the workspaces that it owns, or for whose owner
 * it is the deputy: how many requests are admitted, and when refused ones may
 * come back.
 *
 * The load that this answers: a workspace that sends several times its limit
 * through all nodes. Each node is told how long not to ask, so that what the
 * owner has to answer stays far below what is sent.
 * @module
 */
import {
  divideBounds,
  isLimited,
  type QuotaBounds,
  type QuotaTolerance,
  type WorkspaceLimit,
} from "./bounds.ts";
import { createQuotaBucket, type QuotaBucket } from "./bucket.ts";
import type { QuotaAsk, QuotaGrant } from "./messages.ts";

/** Decides about workspaces. */
export interface QuotaDecider {
  /** Decides about one ask. `share` is the part of the limit given out here. */
  decide(ask: QuotaAsk, options: DecisionOptions): QuotaGrant;
  /** Adds tokens for the time until now, in which this was the share. */
  advance(share: number): void;
  /** Empties the bucket of a workspace about which another node decides. */
  drain(workspace: string): void;
  /** Whether this node has decided about a workspace lately. */
  knows(workspace: string): boolean;
  /** Forgets the workspaces for which this node no longer decides. */
  retain(isKept: (workspace: string) => boolean): void;
  /** Number of workspaces that are known. */
  readonly size: number;
}

/** What a decision depends on besides the ask. */
export interface DecisionOptions {
  /** The limit in force. */
  limit: WorkspaceLimit | undefined;
  /** Part of the limit that this node gives out. */
  share: number;
  /** Part of the tokens of a new bucket that this node may start with. */
  startShare: number;
  /** Whether nodes may still ask the previous owner. */
  succeeds: boolean;
  /** Time since when nobody else has given out this part. */
  sinceMs: number;
}

/** Options of {@link createQuotaDecider}. */
export interface QuotaDeciderOptions {
  /** Monotonic time in milliseconds. */
  now: () => number;
  tolerance: () => QuotaTolerance;
}

interface Entry {
  bucket: QuotaBucket;
  bounds: QuotaBounds;
  usedAt: number;
  /** Time at which the bucket is full if nothing is asked until then. */
  fullAt: number;
  /** Refused asks, of which half are forgotten in `HALF_LIFE_MS`. */
  refusals: number;
  /** Time for which a token is expected that no refused request waits for. */
  freeAt: number;
}

/** Least part of a limit that is given out. */
const MIN_SHARE = 1e-6;
const HALF_LIFE_MS = 1_000;
/**
 * Time for which the limit is kept for requests that can still meet their
 * objective. While a workspace sends more than its limit, refused requests that
 * come back would otherwise take the tokens of new ones, and all be late.
 */
const TIMELY_RESERVE_MS = 500;
/**
 * Time for which nodes do not ask, for each ask that was refused in the last
 * second; it bounds the refused asks to about 100 per second.
 */
const CLOSED_MS_PER_REFUSAL = 4;
const MAX_CLOSED_MS = 400;
/** Fill of a bucket at which refused requests need not wait for each other. */
const RELAXED_FILL = 1 / 4;
const MAX_RETRY_AFTER_MS = 10_000;
const SWEEP_INTERVAL_MS = 5_000;

/** Creates a decider that knows no workspace yet. */
export function createQuotaDecider(options: QuotaDeciderOptions): QuotaDecider {
  const { now, tolerance } = options;
  const entries = new Map<string, Entry>();
  let sweptAt = now();

  function sweep(time: number): void {
    if (time - sweptAt < SWEEP_INTERVAL_MS) {
      return;
    }
    sweptAt = time;
    for (const [workspace, { fullAt }] of entries) {
      if (fullAt < time) {
        entries.delete(workspace);
      }
    }
  }

  /** Returns the wait of the next of `count` refused requests. */
  function planReturn(
    entry: Entry,
    plan: { time: number; waitMs: number; perMs: number; count: number },
  ): number {
    const { time, waitMs, perMs, count } = plan;
    const freeAt = Math.max(entry.freeAt, time + waitMs);
    entry.freeAt = Math.min(
      freeAt + count / perMs,
      time + MAX_RETRY_AFTER_MS,
    );
    return Math.min(freeAt - time, MAX_RETRY_AFTER_MS);
  }

  /** Creates the entry of a workspace that is not known. */
  function createEntry(
    time: number,
    { bounds, options }: { bounds: QuotaBounds; options: DecisionOptions },
  ): Entry {
    const { startShare, succeeds, sinceMs } = options;
    return {
      bucket: createQuotaBucket(Math.min(time, sinceMs), {
        bounds,
        startShare,
        succeeds,
      }),
      bounds,
      usedAt: time,
      fullAt: time,
      refusals: 0,
      freeAt: time,
    };
  }

  /** Takes the tokens of an ask; late requests get what timely ones leave. */
  function takeTokens(
    bucket: QuotaBucket,
    { count, late }: QuotaAsk,
  ): { granted: number; isUsedUp: boolean } {
    const timely = count - late;
    const grantedTimely = bucket.take(timely);
    return {
      granted: grantedTimely + bucket.take(late, TIMELY_RESERVE_MS),
      isUsedUp: grantedTimely < timely,
    };
  }

  return {
    get size() {
      return entries.size;
    },
    advance(share) {
      const time = now();
      entries.forEach(({ bucket, bounds }) =>
        bucket.advance(time, { bounds, share: Math.max(MIN_SHARE, share) })
      );
    },
    drain: (workspace) => entries.get(workspace)?.bucket.drain(now()),
    knows: (workspace) => entries.has(workspace),
    retain(isKept) {
      for (const workspace of entries.keys()) {
        if (!isKept(workspace)) {
          entries.delete(workspace);
        }
      }
    },
    decide(ask, options) {
      const { limit } = options;
      if (!isLimited(limit)) {
        return { granted: ask.count, closedMs: 0, retryAfterMs: 0 };
      }
      const time = now();
      sweep(time);
      const share = Math.max(MIN_SHARE, options.share);
      const bounds = divideBounds(limit, tolerance());
      const entry = entries.get(ask.workspace) ??
        createEntry(time, { bounds, options });
      entries.set(ask.workspace, entry);
      const { bucket } = entry;
      entry.bounds = bounds;
      bucket.advance(time, { bounds, share });
      bucket.charge(ask.use);
      const { granted, isUsedUp } = takeTokens(bucket, ask);
      entry.refusals *= 0.5 ** ((time - entry.usedAt) / HALF_LIFE_MS);
      entry.usedAt = time;
      entry.fullAt = time + bucket.fullAfterMs(share);
      const refused = ask.count - granted;
      if (bucket.fill(share) > RELAXED_FILL) {
        entry.freeAt = time;
      }
      if (refused === 0) {
        return { granted, closedMs: 0, retryAfterMs: 0 };
      }
      entry.refusals++;
      const waitMs = bucket.waitMs(share);
      return {
        granted,
        // What is left is for requests that can still meet their objective.
        closedMs: isUsedUp
          ? Math.min(
            MAX_CLOSED_MS,
            Math.max(waitMs, entry.refusals * CLOSED_MS_PER_REFUSAL),
          )
          : 0,
        retryAfterMs: planReturn(entry, {
          time,
          waitMs,
          perMs: bounds.sent.perMs * share,
          count: refused + ask.refused,
        }),
      };
    },
  };
}
