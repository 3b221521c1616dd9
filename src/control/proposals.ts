/**
 * Proposals that wait for their entries to be committed and applied.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import { StepError } from "../core/errors.ts";
import type { Entry } from "./log_store.ts";

/** Why a proposal has no result. */
export class ProposalError extends StepError {
  /**
   * `not_leader`: nothing was appended. `unknown`: it may still be committed.
   */
  readonly reason: "not_leader" | "unknown";
  /** RPC address of the leader, if known. */
  readonly leader: string;

  constructor(reason: "not_leader" | "unknown", leader: string) {
    super("replica.propose", reason, { peer: leader || "local" });
    this.reason = reason;
    this.leader = leader;
  }
}

/** Result of a proposal. */
export type ProposalResult = Result<unknown, ProposalError>;

/** Proposals that wait. */
export interface Proposals {
  /** Resolves once the entry is applied, or nobody can tell any more. */
  wait(entry: Entry): Promise<ProposalResult>;
  /** An entry was applied with a result. */
  applied(entry: Entry, result: unknown): void;
  /** Leadership ended: what waits may still be committed by another leader. */
  abandon(leader: string): void;
}

interface Waiter {
  term: number;
  resolve(result: ProposalResult): void;
}

/** Creates a place for proposals that holds none. */
export function createProposals(): Proposals {
  const waiters = new Map<number, Waiter>();

  return {
    wait: (entry) =>
      new Promise((resolve) => {
        waiters.set(entry.index, { term: entry.term, resolve });
      }),
    applied(entry, result) {
      const waiter = waiters.get(entry.index);
      waiters.delete(entry.index);
      // Another leader's entry may have taken the place.
      const own = waiter?.term === entry.term;
      waiter?.resolve(own ? ok(result) : err(new ProposalError("unknown", "")));
    },
    abandon(leader) {
      for (const waiter of waiters.values()) {
        waiter.resolve(err(new ProposalError("unknown", leader)));
      }
      waiters.clear();
    },
  };
}
