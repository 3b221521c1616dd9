/**
 * Handing leadership over before a planned stop.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import type { Bell } from "../core/tasks.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { Timer } from "../time/timer.ts";
import type { ReplicaInfo } from "./log_store.ts";
import { handoverMethod } from "./methods.ts";
import type { ReplicaLog } from "./replica_log.ts";
import type { ReplicaTuning } from "./tuning.ts";

/** Options of {@link handOverTo}. */
export interface HandoverOptions {
  term: number;
  log: ReplicaLog;
  rpc: Rpc;
  timer: Timer;
  logger: Logger;
  /** Aborted when the leadership ends. */
  signal: AbortSignal;
  tuning: ReplicaTuning;
  /** Rings when a peer has answered or an entry was committed. */
  answered: Bell;
  /** Sends what is new to all peers. */
  wake: () => void;
  matchedBy: (replica: ReplicaInfo) => number;
}

/**
 * Waits until everything appended is committed, where nobody can take over. An
 * election timeout or the end of leadership ends the wait; what is not
 * committed by then is told `unknown`.
 */
export async function settleChanges(
  options: Pick<
    HandoverOptions,
    "log" | "timer" | "signal" | "tuning" | "answered"
  >,
): Promise<void> {
  const { log, timer, signal, tuning, answered } = options;
  const deadline = timer.now() + tuning.electionMs;
  while (
    timer.now() < deadline && !signal.aborted &&
    log.commitIndex < log.lastIndex
  ) {
    await answered.wait(tuning.heartbeatMs);
  }
}

/**
 * Waits until a follower holds everything and everything is committed, then
 * tells it to stand for election. An election timeout or the end of leadership
 * ends the wait, and the follower is told all the same: it may lose the
 * election, which a later one makes good.
 */
export async function handOverTo(
  target: ReplicaInfo,
  options: HandoverOptions,
): Promise<void> {
  const { term, log, rpc, timer, logger, signal, tuning } = options;
  const deadline = timer.now() + tuning.electionMs;
  options.wake();
  while (
    timer.now() < deadline && !signal.aborted &&
    (options.matchedBy(target) < log.lastIndex ||
      log.commitIndex < log.lastIndex)
  ) {
    await options.answered.wait(tuning.heartbeatMs);
  }
  const reply = await rpc.call({
    peer: target.address,
    method: handoverMethod,
    request: { term },
    timeoutMs: tuning.callMs,
  });
  logger.info("replica.handed_over", {
    to: target.identity,
    started: reply.isOk() && reply.value.started,
  });
}
