/**
 * Confirmations of reads by the leader. After a restart of many nodes, each of
 * them asks a replica for a confirmed view, often before there is a leader. The
 * reads that come at the same time share one confirmation, and may wait for a
 * leader instead of asking again.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";

/** Confirmations of reads on one replica. */
export interface ReadConfirmations {
  /**
   * Whether this replica now has all entries that were accepted before the call.
   * Without an answer of a leader, it asks again until `waitMs` have passed.
   */
  confirm(waitMs: number): Promise<boolean>;
}

/** Options of {@link createReadConfirmations}. */
export interface ReadConfirmationsOptions {
  timer: Timer;
  /** Aborted when this replica stops. */
  signal: AbortSignal;
  /** Asks the leader once. */
  confirmOnce: () => Promise<boolean>;
}

/** Time for which reads are collected before the leader is asked. */
const COLLECT_MS = 2;
/** Pause before the leader is asked again. */
const RETRY_PAUSE_MS = 20;

/** Creates the confirmations of a replica that has no reads yet. */
export function createReadConfirmations(
  options: ReadConfirmationsOptions,
): ReadConfirmations {
  const { timer, signal, confirmOnce } = options;
  /** A confirmation that has not begun yet, so that further reads can join. */
  let collecting: Promise<boolean> | undefined;

  async function collect(): Promise<boolean> {
    await sleep(timer, COLLECT_MS);
    collecting = undefined;
    return await confirmOnce();
  }

  function join(): Promise<boolean> {
    collecting ??= collect();
    return collecting;
  }

  return {
    async confirm(waitMs) {
      const deadline = timer.now() + waitMs;
      let confirmed = await join();
      while (!confirmed && !signal.aborted && timer.now() < deadline) {
        await sleep(timer, RETRY_PAUSE_MS, { signal });
        confirmed = await join();
      }
      return confirmed;
    },
  };
}
