/**
 * Calls to whichever replica leads: proposals and reads that a quorum confirms.
 * @module
 */
import type { Result } from "neverthrow";
import { TimeoutError } from "../core/errors.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer, withTimeout } from "../time/timer.ts";
import type { Command } from "./commands.ts";
import { confirmMethod, type LeaderReply } from "./node_methods.ts";
import type { ProposalError } from "./proposals.ts";
import type { Replica } from "./replica.ts";

/** Longest wait for a quorum, and for catching up with it, in milliseconds. */
const CONFIRM_TIMEOUT_MS = 700;
/** Pause between two looks at what was committed, in milliseconds. */
const CATCH_UP_LOOK_MS = 10;

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

/** A call that this replica answers itself while it leads. */
export interface LeaderCall<Q, T> {
  request: Q;
  /** Longest wait for the answer in milliseconds, this replica's own too. */
  timeoutMs: number;
  local: () => Promise<LeaderReply<T>>;
}

/** Calls to whichever replica leads. */
export interface LeaderCalls {
  /** Whether this replica leads. */
  leads(): boolean;
  /** Proposes a command here; only a leader appends it. */
  propose<T>(command: Command): Promise<LeaderReply<T>>;
  /**
   * Calls the leader, wherever it is, as long as it is known. A call that fails
   * or takes too long is `unknown`; the leader is not told, and goes on.
   */
  call<Q, T>(
    method: Method<Q, LeaderReply<T>>,
    call: LeaderCall<Q, T>,
  ): Promise<LeaderReply<T>>;
  /** Confirms a read here; only a leader can. */
  confirmHere(): Promise<LeaderReply<number>>;
  /**
   * Whether this replica now holds all that was accepted before the call. The
   * time limits of the leader's answer and of catching up, or the stop of this
   * replica end the wait; the node is told that its view is not confirmed.
   */
  confirmRead(): Promise<boolean>;
}

/** Returns a result of the replica in the shape that goes to callers. */
function replyOf<T>(result: Result<T, ProposalError>): LeaderReply<T> {
  return result.isOk()
    ? { kind: "done", value: result.value }
    : { kind: result.error.reason, leader: result.error.leader };
}

/** Creates the calls of one replica. */
export function createLeaderCalls(options: LeaderCallsOptions): LeaderCalls {
  const { replica, address, rpc, timer, signal } = options;

  function leads(): boolean {
    return replica.status().role === "leader";
  }

  function answerHere<T>(
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
    if (leads()) {
      return await answerHere(local, timeoutMs);
    }
    const { leader } = replica.status();
    if (!leader || leader === address) {
      return { kind: "not_leader", leader: "" };
    }
    const reply = await rpc.call({ peer: leader, method, request, timeoutMs });
    return reply.isOk() ? reply.value : { kind: "unknown", leader };
  }

  async function confirmHere(): Promise<LeaderReply<number>> {
    return replyOf(await replica.confirm());
  }

  return {
    leads,
    call,
    confirmHere,
    propose: async <T>(command: Command) =>
      replyOf(await replica.propose(command) as Result<T, ProposalError>),
    async confirmRead() {
      const reply = await call(confirmMethod, {
        request: {},
        timeoutMs: CONFIRM_TIMEOUT_MS,
        local: confirmHere,
      });
      if (reply.kind !== "done") {
        return false;
      }
      const deadline = timer.now() + CONFIRM_TIMEOUT_MS;
      while (timer.now() < deadline) {
        if (replica.status().commitIndex >= reply.value) {
          return true;
        }
        await sleep(timer, CATCH_UP_LOOK_MS, { signal });
      }
      return false;
    },
  };
}
