/**
 * Gives up the vote of a replica that is about to stop, where the cluster bears no
 * less without it. A replica that is stopped may be gone for good: of four voters
 * of which one is gone, the loss of another one would leave no quorum.
 * @module
 */
import { sleep } from "../time/timer.ts";
import { releaseVoteMethod } from "./methods.ts";
import type { ReplicaContext } from "./replica_context.ts";

/** Pause before the leader is asked again, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/**
 * Asks the leader for up to an election timeout to make this replica a learner,
 * if the number of voters is even. It becomes a voter again once it has restarted.
 */
export async function releaseVote(context: ReplicaContext): Promise<void> {
  const { local, contact, rpc, timer, tuning, logger } = context;
  const endAt = timer.now() + tuning.electionMs;

  function hasSpareVote(): boolean {
    return local.role === "follower" && local.isVoter() &&
      local.openLog().membership.voters.length % 2 === 0;
  }

  while (hasSpareVote() && timer.now() < endAt) {
    const { identity, address } = local.info;
    if (contact.leader && contact.address !== address) {
      const reply = await rpc.call({
        peer: contact.address,
        method: releaseVoteMethod,
        request: { identity },
        timeoutMs: Math.min(tuning.callMs, endAt - timer.now()),
      });
      if (reply.isOk() && reply.value.accepted) {
        logger.info("replica.released_vote", { leader: contact.address });
        return;
      }
    }
    await sleep(timer, RETRY_PAUSE_MS);
  }
}
