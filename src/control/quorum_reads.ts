/**
 * Linearizable reads: a leader answers a read only after a quorum has answered
 * a request that was sent after the read began.
 * @module
 */
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Condition } from "../core/tasks.ts";
import { type Timer, withTimeout } from "../time/timer.ts";
import type { ReplicaLog } from "./replica_log.ts";

/** Options of {@link createQuorumReads}. */
export interface QuorumReadsOptions {
  log: ReplicaLog;
  timer: Timer;
  logger: Logger;
  /** Aborted when the leadership ends. */
  signal: AbortSignal;
  /** Wakes waiting reads when a peer has answered or an entry was committed. */
  answered: Condition;
  /** Sends a heartbeat to all peers. */
  wake: () => void;
  /**
   * Whether a quorum has answered requests that were sent at `askedAt` or
   * later.
   */
  confirmedSince: (askedAt: number) => boolean;
  /** Longest wait for a quorum in milliseconds. */
  quorumTimeoutMs: number;
  /** Longest interval between two checks of the answers, in milliseconds. */
  pollIntervalMs: number;
}

/** Linearizable reads in one term of leadership. */
export interface QuorumReads {
  /**
   * Returns an applied index that includes all entries committed before the
   * call and the entry at `firstIndex`. Returns `undefined` if leadership ends
   * or the quorum timeout expires first.
   */
  confirm(firstIndex: number): Promise<number | undefined>;
}

/** Creates the reads of one term of leadership. */
export function createQuorumReads(options: QuorumReadsOptions): QuorumReads {
  const { log, timer, logger, signal, answered, quorumTimeoutMs } = options;

  async function confirm(firstIndex: number): Promise<number | undefined> {
    const askedAt = timer.now();
    const index = Math.max(log.commitIndex, firstIndex);
    const deadline = askedAt + quorumTimeoutMs;
    options.wake();
    while (!signal.aborted && timer.now() < deadline) {
      if (options.confirmedSince(askedAt) && log.appliedIndex >= index) {
        return log.appliedIndex;
      }
      await answered.wait(options.pollIntervalMs);
    }
    return undefined;
  }

  return {
    confirm: (firstIndex) =>
      withTimeout(timer, confirm(firstIndex), {
        step: "leadership.confirm",
        peer: "quorum",
        timeoutMs: quorumTimeoutMs * 2,
      }).catch((error) => {
        logger.warn("replica.confirm_failed", errorFields(error));
        return undefined;
      }),
  };
}
