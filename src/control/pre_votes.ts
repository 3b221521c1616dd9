/**
 * The candidate that this replica promised to vote for. After a power loss many
 * replicas become candidates at almost the same time; if each voter promises its
 * vote to one of them only, they do not split the votes of a term, which would
 * cost a further election timeout.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/**
 * Time for which a promise is kept, in milliseconds. An election usually ends
 * sooner. With 100 ms, candidates that came too early for a quorum delayed the
 * next ones.
 */
const PROMISE_MS = 30;

/** The pre-vote that this replica has granted last. */
export interface PreVotes {
  /** Promises the vote to a candidate, unless another one has the promise. */
  promise(candidate: string): boolean;
  /** Ends the promise to a candidate whose election has failed. */
  release(candidate: string): void;
}

/** Creates pre-votes of a replica that has promised nothing. */
export function createPreVotes(timer: Timer): PreVotes {
  let promised: { candidate: string; until: number } | undefined;

  return {
    promise(candidate) {
      const now = timer.now();
      if (
        promised && promised.candidate !== candidate && now < promised.until
      ) {
        return false;
      }
      promised = { candidate, until: now + PROMISE_MS };
      return true;
    },
    release(candidate) {
      if (promised?.candidate === candidate) {
        promised = undefined;
      }
    },
  };
}
