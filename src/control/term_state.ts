/**
 * The current term and vote of a replica. Both are durable before any peer
 * learns of them.
 * @module
 */
import type { LogStore, Vote } from "./log_store.ts";

/** The current term and vote of a replica. */
export interface TermState {
  /** Newest term seen. */
  readonly term: number;
  /**
   * Identity of the candidate that was voted for in this term; empty for none.
   */
  readonly votedFor: string;
  /** Sets the vote that was read from disk. */
  load(vote: Vote): void;
  /**
   * Makes a term and vote durable. Rejects, and leaves both unchanged, if the
   * disk fails.
   */
  save(vote: Vote): Promise<void>;
  /**
   * Moves to a term if it is newer than the current one. The replica stops
   * leading the older term first.
   */
  adopt(term: number): Promise<void>;
}

/** Options of {@link createTermState}. */
export interface TermStateOptions {
  store: LogStore;
  /**
   * Called before a newer term is adopted, so that leadership of the older one
   * ends.
   */
  onNewerTerm: () => void;
  /** Called when the disk failed, so that the replica stops taking part. */
  onFailure: (error: unknown) => void;
}

/** Creates the state of a replica at term 0. */
export function createTermState(options: TermStateOptions): TermState {
  const { store } = options;
  let vote: Vote = { term: 0, votedFor: "" };

  async function save(next: Vote): Promise<void> {
    try {
      await store.saveVote(next);
    } catch (error) {
      options.onFailure(error);
      throw error;
    }
    vote = next;
  }

  return {
    get term() {
      return vote.term;
    },
    get votedFor() {
      return vote.votedFor;
    },
    load(found) {
      vote = found;
    },
    save,
    async adopt(term) {
      if (term > vote.term) {
        options.onNewerTerm();
        await save({ term, votedFor: "" });
      }
    },
  };
}
