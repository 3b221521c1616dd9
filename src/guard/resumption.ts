/**
 * Recovery of attempts whose channel was lost: the sender asks for the result
 * with a `resume` frame on another channel. The guard waits while the attempt
 * is queued or runs, and sends the cached result of an attempt that has ended.
 * @module
 */
import type { Channel } from "../network/channel.ts";
import type { AttemptId, Failed, Load } from "../network/frames.ts";
import type { KeepaliveSender } from "./keepalive_sender.ts";
import { attemptKey, type AttemptLedger } from "./attempt_ledger.ts";
import { type CachedResult, createResponseCache } from "./response_cache.ts";
import type { AttemptResult } from "./run.ts";

/** Options of {@link createResumption}. */
export interface ResumptionOptions {
  incarnation: string;
  ledger: AttemptLedger;
  keepalives: KeepaliveSender;
  load: () => Load;
}

/** An attempt that is queued or runs. */
export interface TrackedAttempt {
  /** Gives the result to the senders that wait for it. */
  resolve(end: AttemptResult): void;
  /** Stops tracking, once the result was sent or could not be sent. */
  release(): void;
}

/** Gives the results of attempts to senders that lost their channel. */
export interface Resumption {
  /**
   * Tracks an attempt that is queued or runs, so that senders can wait for it.
   */
  track(attempt: AttemptId): TrackedAttempt;
  /** Caches the result of an attempt. */
  store(end: CachedResult): void;
  /**
   * Sends the result of an attempt, or a failure if the result is not known.
   */
  serve(
    channel: Channel,
    request: { attempt: AttemptId; incarnation: string },
  ): Promise<void>;
}

const CACHE_CAPACITY_BYTES = 8 * 1024 * 1024;

/** Creates a resumption without attempts. */
export function createResumption(options: ResumptionOptions): Resumption {
  const { incarnation, ledger, keepalives, load } = options;
  const cache = createResponseCache(CACHE_CAPACITY_BYTES);
  const pending = new Map<string, Promise<AttemptResult>>();

  /** Waits for the end of an attempt, and sends keepalives meanwhile. */
  async function awaitEnd(
    channel: Channel,
    attempt: AttemptId,
  ): Promise<AttemptResult | undefined> {
    const stopKeepalives = keepalives.start(channel);
    const result = await pending.get(attemptKey(attempt))?.finally(
      stopKeepalives,
    );
    stopKeepalives();
    return cache.get(attempt) ?? result;
  }

  return {
    track(attempt) {
      const key = attemptKey(attempt);
      let resolve: TrackedAttempt["resolve"] = () => {};
      pending.set(
        key,
        new Promise((settle) => {
          resolve = settle;
        }),
      );
      return { resolve, release: () => pending.delete(key) };
    },
    store: cache.store,
    async serve(channel, { attempt, incarnation: expectedIncarnation }) {
      const unknown: Failed = {
        kind: "failed",
        attempt,
        outcome: "unknown",
        cause: "the answer is not kept",
        crashed: false,
        reached: true,
        load: load(),
      };
      if (expectedIncarnation !== incarnation) {
        await channel.send(unknown);
        return;
      }
      const end = await awaitEnd(channel, attempt);
      const replayable = end?.kind === "answer" && end.streaming
        ? undefined
        : end;
      await channel.send(
        replayable ? { ...replayable, load: load() } : {
          ...unknown,
          outcome: ledger.get(attempt) === "finished" ? "ran" : "unknown",
        },
      );
    },
  };
}
