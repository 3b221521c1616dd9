/**
 * The term and the vote of a replica, durable before anyone is told of them.
 * @module
 */
import type { LogStore, Vote } from "./log_store.ts";

/** The term and the vote of a replica. */
export interface Ballot {
  /** Newest term seen. */
  readonly term: number;
  /** Identity that was voted for in this term; empty for none. */
  readonly votedFor: string;
  /** Takes over what was found on disk. */
  load(vote: Vote): void;
  /** Makes a vote durable; rejects, and changes nothing, if the disk fails. */
  save(vote: Vote): Promise<void>;
  /** Moves to a term if it is newer; leadership of an older one ends. */
  adopt(term: number): Promise<void>;
}

/** Options of {@link createBallot}. */
export interface BallotOptions {
  store: LogStore;
  /** Called before a newer term is taken over. */
  onNewerTerm: () => void;
  /** The disk failed. */
  onFailure: (error: unknown) => void;
}

/** Creates a ballot at term 0. */
export function createBallot(options: BallotOptions): Ballot {
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
