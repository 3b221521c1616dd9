/**
 * State and services that the handlers and tasks of one replica share.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import type { SerialQueue } from "../core/tasks.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { Timer } from "../time/timer.ts";
import type { TermState } from "./term_state.ts";
import type { LeaderContact } from "./leader_contact.ts";
import type { LocalReplica } from "./local_replica.ts";
import type { PreVotes } from "./pre_votes.ts";
import type { ReplicaTuning } from "./tuning.ts";

/** State and services that the handlers and tasks of one replica share. */
export interface ReplicaContext {
  local: LocalReplica;
  termState: TermState;
  contact: LeaderContact;
  preVotes: PreVotes;
  /** Serializes all changes of the term, the vote and a follower's log. */
  serial: SerialQueue;
  rpc: Rpc;
  timer: Timer;
  logger: Logger;
  tuning: ReplicaTuning;
}

/**
 * Whether this replica leads, or was in contact with a leader within an
 * election timeout.
 */
export function hasLiveLeader(context: ReplicaContext): boolean {
  const { local, contact, tuning } = context;
  return local.role === "leader" || contact.silenceMs() < tuning.electionMs;
}

/** Adopts a newer term that a peer reported, once earlier work has ended. */
export function adoptTermLater(context: ReplicaContext, term: number): void {
  const { serial, termState } = context;
  // The term state has already reported the failed disk.
  void serial.run(() => termState.adopt(term)).catch(() => {});
}
