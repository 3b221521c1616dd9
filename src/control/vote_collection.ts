/**
 * Requests votes from the voters of a cluster.
 * @module
 */
import type { Rpc } from "../rpc/rpc.ts";
import { voteMethod } from "./methods.ts";
import { quorumSize } from "./quorum.ts";
import type { ReplicaLog } from "./replica_log.ts";

/** A request for votes, or for pre-votes. */
export interface Candidacy {
  term: number;
  /** Identity of the candidate. */
  candidate: string;
  /**
   * Requests a pre-vote: the voter only states whether it would grant its vote.
   */
  pre: boolean;
  /** The leader asked the candidate to start this election. */
  handover: boolean;
}

/** Result of a round of vote requests. */
export interface VoteResult {
  /** Whether a quorum granted its votes. */
  won: boolean;
  /** Newest term among the replies. */
  newestTerm: number;
}

/**
 * Requests votes from all voters in parallel and resolves as soon as the result
 * is certain. Calls that are still pending then run until they are answered or
 * time out; their replies change nothing, and voters are not notified of the result.
 */
export function collectVotes(
  candidacy: Candidacy,
  options: { log: ReplicaLog; rpc: Rpc; timeoutMs: number },
): Promise<VoteResult> {
  const { log, rpc, timeoutMs } = options;
  const { voters } = log.membership;
  const needed = quorumSize(voters.length);
  const others = voters.filter((one) => one.identity !== candidacy.candidate);
  let granted = 1;
  let newestTerm = 0;
  let pending = others.length;
  return new Promise((resolve) => {
    /** A pre-vote is repeated soon, so that late replies are not awaited. */
    function isLost(): boolean {
      return pending === 0 || (candidacy.pre && granted + pending < needed);
    }
    function resolveIfDecided(): void {
      if (granted >= needed || isLost()) {
        resolve({ won: granted >= needed, newestTerm });
      }
    }
    resolveIfDecided();
    for (const voter of others) {
      rpc.call({
        peer: voter.address,
        method: voteMethod,
        request: {
          to: voter.identity,
          lastIndex: log.lastIndex,
          lastTerm: log.lastTerm,
          ...candidacy,
        },
        timeoutMs,
      }).then((reply) => {
        pending--;
        if (reply.isOk()) {
          granted += reply.value.granted ? 1 : 0;
          newestTerm = Math.max(newestTerm, reply.value.term);
        }
        resolveIfDecided();
      });
    }
  });
}
