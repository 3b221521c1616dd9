/**
 * Hands leadership over before a planned stop.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import type { Condition } from "../core/tasks.ts";
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
  /** Wakes waiting tasks when a peer has answered or an entry was committed. */
  answered: Condition;
  /** Sends new entries to all peers without waiting for the next heartbeat. */
  wake: () => void;
  matchedBy: (replica: ReplicaInfo) => number;
}

/**
 * Waits until all appended entries are committed; used when no other voter can
 * take over. The wait ends after an election timeout or when leadership ends;
 * proposals that are not committed by then resolve as `unknown`.
 */
export async function awaitCommits(
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
 * Waits until a follower has stored all entries and all are committed, then
 * asks it to start an election. After an election timeout, or when leadership
 * ends, the follower is asked without further waiting. It may then lose the
 * election; a later election chooses a leader in that case.
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
