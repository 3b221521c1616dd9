/**
 * What the handlers and tasks of one replica share.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import type { Serial } from "../core/tasks.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { Timer } from "../time/timer.ts";
import type { Ballot } from "./ballot.ts";
import type { LeaderContact } from "./leader_contact.ts";
import type { LocalReplica } from "./local_replica.ts";
import type { ReplicaTuning } from "./tuning.ts";

/** What the handlers and tasks of one replica share. */
export interface ReplicaParts {
  local: LocalReplica;
  ballot: Ballot;
  contact: LeaderContact;
  /** Orders whatever changes the term, the vote or a follower's log. */
  serial: Serial;
  rpc: Rpc;
  timer: Timer;
  logger: Logger;
  tuning: ReplicaTuning;
}

/** Whether there is a leader, as far as this replica can tell. */
export function hearsLeader(parts: ReplicaParts): boolean {
  const { local, contact, tuning } = parts;
  return local.role === "leader" || contact.silenceMs() < tuning.electionMs;
}

/** Moves to a newer term that a peer told of, once earlier work has ended. */
export function adoptLater(parts: ReplicaParts, term: number): void {
  const { serial, ballot } = parts;
  // The ballot has reported a failure of the disk.
  void serial.run(() => ballot.adopt(term)).catch(() => {});
}
