/**
 * Confirmations of reads by the leader. After a restart of many nodes, each of
 * them asks a replica for a confirmed view; the reads that come at the same time
 * share one question to the leader, and so do those that come before there is one.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";

/** Confirmations of reads on one replica. */
export interface ReadConfirmations {
  /**
   * Whether this replica now has all entries that were accepted before the call;
   * false if no leader answers in time.
   */
  confirm(): Promise<boolean>;
}

/** Options of {@link createReadConfirmations}. */
export interface ReadConfirmationsOptions {
  timer: Timer;
  /** Waits for a limited time until a leader is known. */
  waitForLeader: () => Promise<void>;
  /** Asks the leader once. */
  confirmOnce: () => Promise<boolean>;
}

/** Time for which reads are collected before the leader is asked. */
const COLLECT_MS = 2;

/** Creates the confirmations of a replica that has no reads yet. */
export function createReadConfirmations(
  options: ReadConfirmationsOptions,
): ReadConfirmations {
  const { timer, waitForLeader, confirmOnce } = options;
  /** A confirmation that has not begun yet, so that further reads can join. */
  let collecting: Promise<boolean> | undefined;

  async function collect(): Promise<boolean> {
    await sleep(timer, COLLECT_MS);
    await waitForLeader();
    collecting = undefined;
    return await confirmOnce();
  }

  return {
    confirm() {
      collecting ??= collect();
      return collecting;
    },
  };
}
