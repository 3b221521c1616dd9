/**
 * This replica's leadership, while it leads, and the proposals that wait for
 * their results.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { Supervisor } from "../core/tasks.ts";
import type { DurableWatermarks } from "./durable_watermarks.ts";
import { createLeadership, type Leadership } from "./leadership.ts";
import type { Entry, ReplicaInfo } from "./log_store.ts";
import {
  createProposals,
  ProposalError,
  type ProposalResult,
} from "./proposals.ts";
import { adoptTermLater, type ReplicaContext } from "./replica_context.ts";

/** Options of {@link createLocalLeadership}. */
export interface LocalLeadershipOptions {
  context: ReplicaContext;
  marks: DurableWatermarks;
  supervisor: Supervisor;
}

/** This replica's leadership, if it leads. */
export interface LocalLeadership {
  /** Starts to lead a term whose election was won. */
  begin(term: number): void;
  /**
   * Ends leadership, if there is any. Waiting proposals resolve as `unknown`,
   * since another leader may still commit their entries.
   */
  stepDown(cause: string): void;
  /**
   * Called when more entries are durable on this replica, to commit what a
   * quorum has stored.
   */
  advance(): void;
  /** Called when an entry was applied, to resolve the entry's proposal. */
  applied(entry: Entry, result: unknown): void;
  /**
   * Adds a replica as a learner; returns false if it cannot be added now.
   */
  admit(replica: ReplicaInfo): boolean;
  /** Makes a voter that stops a learner; returns false if it remains one. */
  release(identity: string): boolean;
  /**
   * Appends a command and resolves once the entry is applied. If leadership
   * ends first, it resolves as `unknown`. If this replica does not lead, or is
   * handing over its leadership, nothing is appended.
   */
  propose(command: unknown): Promise<ProposalResult>;
  /** Confirms with a quorum that this replica has led throughout the call. */
  confirm(): Promise<Result<number, ProposalError>>;
  /** Hands leadership over, if there is any. */
  handOver(): Promise<void>;
}

/** Creates the leadership of a replica that does not lead yet. */
export function createLocalLeadership(
  options: LocalLeadershipOptions,
): LocalLeadership {
  const { context, marks, supervisor } = options;
  const { local, termState, contact, logger } = context;
  const proposals = createProposals();
  let leadership: Leadership | undefined;

  function stepDown(cause: string): void {
    if (!leadership) {
      return;
    }
    logger.info("replica.stepped_down", { term: termState.term, cause });
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
        ...context,
        self,
        term,
        log: local.openLog(),
        supervisor: supervisor.child(),
        marks,
        onNewerTerm: (newer) => adoptTermLater(context, newer),
        onQuorumLost: () => stepDown("quorum lost"),
        onRemoved: () => stepDown("removed"),
      });
      leadership.begin();
    },
    stepDown,
    advance: () => leadership?.advance(),
    applied: proposals.applied,
    admit: (replica) => leadership?.admit(replica) ?? false,
    release: (identity) => leadership?.release(identity) ?? false,
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
