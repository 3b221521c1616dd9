/**
 * Answers of attempts for those who lost their channel: what still runs is
 * waited for, and what has ended is kept for a while.
 * @module
 */
import type { Channel } from "../network/channel.ts";
import type { AttemptId, Failed, Load } from "../network/frames.ts";
import type { SignsOfLife } from "./signs_of_life.ts";
import { attemptKey, type AttemptLedger } from "./attempt_ledger.ts";
import { createResponseCache, type KeptEnd } from "./response_cache.ts";
import type { End } from "./run.ts";

/** Options of {@link createResumption}. */
export interface ResumptionOptions {
  incarnation: string;
  ledger: AttemptLedger;
  signs: SignsOfLife;
  load: () => Load;
}

/** An attempt that waits or runs. */
export interface TakenAttempt {
  /** Tells those who wait how it ended. */
  ended(end: End): void;
  /** Its end was delivered, or its channel is lost. */
  release(): void;
}

/** Answers of attempts for those who lost their channel. */
export interface Resumption {
  /** An attempt waits or runs here; its end can be asked for from now on. */
  take(attempt: AttemptId): TakenAttempt;
  /** Keeps the end of an attempt. */
  keep(end: KeptEnd): void;
  /** Sends the end of an attempt, as far as it is known. */
  serve(
    channel: Channel,
    request: { attempt: AttemptId; incarnation: string },
  ): Promise<void>;
}

const KEPT_ANSWER_BYTES = 8 * 1024 * 1024;

/** Creates a resumption that knows of no attempt. */
export function createResumption(options: ResumptionOptions): Resumption {
  const { incarnation, ledger, signs, load } = options;
  const kept = createResponseCache(KEPT_ANSWER_BYTES);
  const running = new Map<string, Promise<End>>();

  /** Waits for an attempt that runs, and shows that it is waited for. */
  async function endOf(
    channel: Channel,
    attempt: AttemptId,
  ): Promise<End | undefined> {
    const endSigns = signs.show(channel);
    const ending = await running.get(attemptKey(attempt))?.finally(endSigns);
    endSigns();
    return kept.get(attempt) ?? ending;
  }

  return {
    take(attempt) {
      const key = attemptKey(attempt);
      let ended: TakenAttempt["ended"] = () => {};
      running.set(
        key,
        new Promise((resolve) => {
          ended = resolve;
        }),
      );
      return { ended, release: () => running.delete(key) };
    },
    keep: kept.keep,
    async serve(channel, { attempt, incarnation: meant }) {
      const unknown: Failed = {
        kind: "failed",
        attempt,
        outcome: "unknown",
        cause: "the answer is not kept",
        crashed: false,
        reached: true,
        load: load(),
      };
      if (meant !== incarnation) {
        await channel.send(unknown);
        return;
      }
      const end = await endOf(channel, attempt);
      const whole = end?.kind === "answer" && end.streaming ? undefined : end;
      await channel.send(
        whole ? { ...whole, load: load() } : {
          ...unknown,
          outcome: ledger.get(attempt) === "finished" ? "ran" : "unknown",
        },
      );
    },
  };
}
