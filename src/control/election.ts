/**
 * Asking the voters of a cluster for their votes.
 * @module
 */
import type { Rpc } from "../rpc/rpc.ts";
import { voteMethod } from "./methods.ts";
import { quorumOf } from "./quorum.ts";
import type { ReplicaLog } from "./replica_log.ts";

/** A candidacy, or only the question whether it would be welcome. */
export interface Candidacy {
  term: number;
  /** Identity of the candidate. */
  candidate: string;
  /** Asks only whether votes would be granted. */
  pre: boolean;
  /** The leader itself asked for this election. */
  handover: boolean;
}

/** Result of a candidacy. */
export interface Tally {
  /** Whether a quorum granted its votes. */
  won: boolean;
  /** Newest term that a voter told of. */
  newestTerm: number;
}

/**
 * Asks all voters at once; resolves as soon as the result is certain. Calls
 * that are still open then run out; their answers change nothing, and voters
 * are not told of the result.
 */
export function collectVotes(
  candidacy: Candidacy,
  options: { log: ReplicaLog; rpc: Rpc; timeoutMs: number },
): Promise<Tally> {
  const { log, rpc, timeoutMs } = options;
  const { voters } = log.membership;
  const needed = quorumOf(voters.length);
  const others = voters.filter((one) => one.identity !== candidacy.candidate);
  let granted = 1;
  let newestTerm = 0;
  let open = others.length;
  return new Promise((resolve) => {
    function conclude(): void {
      if (granted >= needed || open === 0) {
        resolve({ won: granted >= needed, newestTerm });
      }
    }
    conclude();
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
        open--;
        if (reply.isOk()) {
          granted += reply.value.granted ? 1 : 0;
          newestTerm = Math.max(newestTerm, reply.value.term);
        }
        conclude();
      });
    }
  });
}
