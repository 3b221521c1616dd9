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
   * `not_leader`: nothing was appended. `unknown`: the entry may still be
   * committed.
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

/** Proposals that wait for their results. */
export interface Proposals {
  /**
   * Resolves with the result once the entry is applied, or with `unknown` once
   * this replica can no longer learn the result.
   */
  wait(entry: Entry): Promise<ProposalResult>;
  /** Called when an entry was applied, to resolve its proposal. */
  applied(entry: Entry, result: unknown): void;
  /**
   * Called when leadership ended: resolves all waiting proposals as `unknown`,
   * since another leader may still commit their entries.
   */
  abandon(leader: string): void;
}

interface Waiter {
  term: number;
  resolve(result: ProposalResult): void;
}

/** Creates an empty set of waiting proposals. */
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
      // Another leader may have overwritten this index with its own entry.
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
