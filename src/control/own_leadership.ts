/**
 * The leadership of this replica, while it leads, and the proposals that wait
 * for it.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Supervisor } from "../core/tasks.ts";
import type { DurableMarks } from "./durable_marks.ts";
import { createLeadership, type Leadership } from "./leadership.ts";
import type { Entry, ReplicaInfo } from "./log_store.ts";
import {
  createProposals,
  ProposalError,
  type ProposalResult,
} from "./proposals.ts";
import { adoptLater, type ReplicaParts } from "./replica_parts.ts";

/** Options of {@link createOwnLeadership}. */
export interface OwnLeadershipOptions {
  parts: ReplicaParts;
  marks: DurableMarks;
  supervisor: Supervisor;
}

/** The leadership of this replica, if it leads. */
export interface OwnLeadership {
  /** Leads a term that was won. */
  begin(term: number): void;
  /**
   * Ends leadership, if there is any. Proposals that wait are told `unknown`:
   * another leader may still commit them.
   */
  stepDown(cause: string): void;
  /** More entries are durable here. */
  advance(): void;
  /** An entry was applied with a result. */
  applied(entry: Entry, result: unknown): void;
  /** Takes a replica in as a learner; false without leadership. */
  admit(replica: ReplicaInfo): boolean;
  /**
   * Appends a command. It resolves once the entry is applied; the end of
   * leadership ends the wait and tells the proposer `unknown`. Without
   * leadership, or while it is handed over, nothing is appended.
   */
  propose(command: unknown): Promise<ProposalResult>;
  /** Confirms with a quorum that this replica led throughout the call. */
  confirm(): Promise<Result<number, ProposalError>>;
  /** Hands leadership over, if there is any. */
  handOver(): Promise<void>;
}

/** Creates a replica's leadership; it does not lead yet. */
export function createOwnLeadership(
  options: OwnLeadershipOptions,
): OwnLeadership {
  const { parts, marks, supervisor } = options;
  const { local, ballot, contact, logger } = parts;
  const proposals = createProposals();
  let leadership: Leadership | undefined;

  function stepDown(cause: string): void {
    if (!leadership) {
      return;
    }
    logger.info("replica.stepped_down", { term: ballot.term, cause });
    leadership.end();
    leadership = undefined;
    local.stepDown();
    proposals.abandon(contact.address);
  }

  function notLeader(): ProposalError {
    return new ProposalError("not_leader", contact.address);
  }

  return {
    begin(term) {
      const self = local.info;
      local.lead();
      contact.lead(self);
      logger.info("replica.leads", { term, identity: self.identity });
      leadership = createLeadership({
        ...parts,
        self,
        term,
        log: local.openLog(),
        supervisor: supervisor.child(),
        marks,
        onNewerTerm: (newer) => adoptLater(parts, newer),
        onQuorumLost: () => stepDown("quorum lost"),
        onRemoved: () => stepDown("removed"),
      });
      leadership.begin();
    },
    stepDown,
    advance: () => leadership?.advance(),
    applied: proposals.applied,
    admit: (replica) => leadership?.admit(replica) ?? false,
    async propose(command) {
      if (!leadership || leadership.handingOver) {
        return err(notLeader());
      }
      return await proposals.wait(leadership.propose(command));
    },
    async confirm() {
      const current = leadership;
      const index = await current?.confirm();
      return index === undefined || leadership !== current
        ? err(notLeader())
        : ok(index);
    },
    async handOver() {
      await leadership?.handOver();
    },
  };
}
