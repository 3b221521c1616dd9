/**
 * Reads that a quorum confirms: a leader answers them only once a quorum has
 * answered it after the read was asked for.
 * @module
 */
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Bell } from "../core/tasks.ts";
import { type Timer, withTimeout } from "../time/timer.ts";
import type { ReplicaLog } from "./replica_log.ts";

/** Options of {@link createQuorumReads}. */
export interface QuorumReadsOptions {
  log: ReplicaLog;
  timer: Timer;
  logger: Logger;
  /** Aborted when the leadership ends. */
  signal: AbortSignal;
  /** Rings when a peer has answered or an entry was committed. */
  answered: Bell;
  /** Sends a heartbeat to all peers. */
  wake: () => void;
  /** Whether a quorum answered requests sent at a time or later. */
  confirmedSince: (askedAt: number) => boolean;
  /** Longest wait for a quorum in milliseconds. */
  waitMs: number;
  /** Pause between two looks at the answers, in milliseconds. */
  lookMs: number;
}

/** Reads that a quorum confirms. */
export interface QuorumReads {
  /**
   * Returns an applied index that holds everything committed before the call
   * and from `firstIndex` on. The end of leadership or the time limit ends the
   * wait; the caller is then told `undefined`, and no index.
   */
  confirm(firstIndex: number): Promise<number | undefined>;
}

/** Creates reads of one term of leadership. */
export function createQuorumReads(options: QuorumReadsOptions): QuorumReads {
  const { log, timer, logger, signal, answered, waitMs } = options;

  async function confirm(firstIndex: number): Promise<number | undefined> {
    const asked = timer.now();
    const index = Math.max(log.commitIndex, firstIndex);
    const deadline = asked + waitMs;
    options.wake();
    while (!signal.aborted && timer.now() < deadline) {
      if (options.confirmedSince(asked) && log.appliedIndex >= index) {
        return log.appliedIndex;
      }
      await answered.wait(options.lookMs);
    }
    return undefined;
  }

  return {
    confirm: (firstIndex) =>
      withTimeout(timer, confirm(firstIndex), {
        step: "leadership.confirm",
        peer: "quorum",
        timeoutMs: waitMs * 2,
      }).catch((error) => {
        logger.warn("replica.confirm_failed", errorFields(error));
        return undefined;
      }),
  };
}
