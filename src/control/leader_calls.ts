/**
 * Calls to the current leader: proposals, and reads confirmed by a quorum.
 * @module
 */
import type { Result } from "neverthrow";
import { TimeoutError } from "../core/errors.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer, withTimeout } from "../time/timer.ts";
import type { Command } from "./commands.ts";
import { confirmMethod, type LeaderReply } from "./node_methods.ts";
import type { ProposalError } from "./proposals.ts";
import { createReadConfirmations } from "./read_confirmations.ts";
import type { Replica } from "./replica.ts";

/**
 * Timeout of a confirmation by the leader, and of the wait until this replica
 * has caught up, in milliseconds each.
 */
const CONFIRM_TIMEOUT_MS = 700;
/**
 * Longest wait of a read until a leader is known, in milliseconds. Without it, a
 * node would ask again after a pause, and after a restart of all machines it
 * would learn of the leader at the end of the pause only.
 */
const LEADER_WAIT_MS = 100;
/**
 * Interval at which a read checks the commit index, or whether there is a leader,
 * in milliseconds.
 */
const POLL_INTERVAL_MS = 10;

/** Options of {@link createLeaderCalls}. */
export interface LeaderCallsOptions {
  replica: Replica;
  /** RPC address of this replica. */
  address: string;
  rpc: Rpc;
  timer: Timer;
  /** Aborted when this replica stops. */
  signal: AbortSignal;
}

/** A call that this replica answers itself while it is the leader. */
export interface LeaderCall<Q, T> {
  request: Q;
  /** Timeout in milliseconds, for the leader's answer and for a local one. */
  timeoutMs: number;
  /** Answers the call on this replica. */
  local: () => Promise<LeaderReply<T>>;
}

/** Calls to the current leader. */
export interface LeaderCalls {
  /** Whether this replica is the leader. */
  isLeader(): boolean;
  /** Proposes a command on this replica; only a leader appends it. */
  propose<T>(command: Command): Promise<LeaderReply<T>>;
  /**
   * Calls the leader, which may be this replica. The reply is `not_leader` if
   * no leader is known, and `unknown` if the call fails or times out; the
   * leader is not notified then, and continues to process the call.
   */
  call<Q, T>(
    method: Method<Q, LeaderReply<T>>,
    call: LeaderCall<Q, T>,
  ): Promise<LeaderReply<T>>;
  /**
   * Confirms a read on this replica, which only a leader can, and returns the
   * log index that a reader must have reached.
   */
  confirmLocally(): Promise<LeaderReply<number>>;
  /**
   * Whether this replica now has all entries that were accepted before the
   * call. The wait ends without a confirmation if the leader does not answer in
   * time, if this replica does not catch up in time, or if it stops; the reply
   * to a node then states that its view is not confirmed.
   */
  confirmRead(): Promise<boolean>;
}

/** Converts a result of the replica into the reply that callers receive. */
function toLeaderReply<T>(result: Result<T, ProposalError>): LeaderReply<T> {
  return result.isOk()
    ? { kind: "done", value: result.value }
    : { kind: result.error.reason, leader: result.error.leader };
}

/** Creates the calls of one replica. */
export function createLeaderCalls(options: LeaderCallsOptions): LeaderCalls {
  const { replica, address, rpc, timer, signal } = options;

  function isLeader(): boolean {
    return replica.status().role === "leader";
  }

  function answerLocally<T>(
    local: () => Promise<LeaderReply<T>>,
    timeoutMs: number,
  ): Promise<LeaderReply<T>> {
    return withTimeout(timer, local(), {
      step: "control.call",
      peer: address,
      timeoutMs,
    }).catch((error) => {
      if (error instanceof TimeoutError) {
        return { kind: "unknown", leader: address };
      }
      throw error;
    });
  }

  async function call<Q, T>(
    method: Method<Q, LeaderReply<T>>,
    { request, timeoutMs, local }: LeaderCall<Q, T>,
  ): Promise<LeaderReply<T>> {
    if (isLeader()) {
      return await answerLocally(local, timeoutMs);
    }
    const { leader } = replica.status();
    if (!leader || leader === address) {
      return { kind: "not_leader", leader: "" };
    }
    const reply = await rpc.call({ peer: leader, method, request, timeoutMs });
    return reply.isOk() ? reply.value : { kind: "unknown", leader };
  }

  async function confirmLocally(): Promise<LeaderReply<number>> {
    return toLeaderReply(await replica.confirm());
  }

  async function confirmOnce(): Promise<boolean> {
    const reply = await call(confirmMethod, {
      request: {},
      timeoutMs: CONFIRM_TIMEOUT_MS,
      local: confirmLocally,
    });
    if (reply.kind !== "done") {
      return false;
    }
    const deadline = timer.now() + CONFIRM_TIMEOUT_MS;
    while (!signal.aborted && timer.now() < deadline) {
      if (replica.status().commitIndex >= reply.value) {
        return true;
      }
      await sleep(timer, POLL_INTERVAL_MS, { signal });
    }
    return false;
  }

  async function waitForLeader(): Promise<void> {
    const deadline = timer.now() + LEADER_WAIT_MS;
    while (
      !replica.status().leader && timer.now() < deadline && !signal.aborted
    ) {
      await sleep(timer, POLL_INTERVAL_MS, { signal });
    }
  }

  const reads = createReadConfirmations({ timer, waitForLeader, confirmOnce });

  return {
    isLeader,
    call,
    confirmLocally,
    propose: async <T>(command: Command) =>
      toLeaderReply(await replica.propose(command) as Result<T, ProposalError>),
    confirmRead: reads.confirm,
  };
}
