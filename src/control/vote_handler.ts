/**
 * Answers vote and pre-vote requests.
 * @module
 */
import { voteMethod } from "./methods.ts";
import type { ReplicaLog } from "./replica_log.ts";
import { hasLiveLeader, type ReplicaContext } from "./replica_context.ts";

function isUpToDate(
  log: ReplicaLog,
  { lastTerm, lastIndex }: { lastTerm: number; lastIndex: number },
): boolean {
  return lastTerm > log.lastTerm ||
    (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
}

/**
 * Answers vote and pre-vote requests. A vote is durable before the candidate
 * receives it; if the disk fails, the call fails and no vote was granted.
 */
export function handleVotes(context: ReplicaContext): void {
  const { local, termState, contact, preVotes, serial, rpc } = context;
  rpc.handle(voteMethod, (request) =>
    serial.run(async () => {
      const { term, candidate, pre, handover } = request;
      const denial = { term: termState.term, granted: false };
      if (!local.acceptsCallsFor(request.to) || term < termState.term) {
        return denial;
      }
      if (hasLiveLeader(context) && !handover) {
        return denial;
      }
      const upToDate = isUpToDate(local.openLog(), request);
      if (pre) {
        const granted = upToDate && local.isVoter() &&
          preVotes.promise(candidate);
        return { term: termState.term, granted };
      }
      await termState.adopt(term);
      const canVote = termState.votedFor === "" ||
        termState.votedFor === candidate;
      if (!canVote || !upToDate || !local.isVoter()) {
        return { term: termState.term, granted: false };
      }
      await termState.save({ term, votedFor: candidate });
      contact.recordVote();
      return { term, granted: true };
    }));
}
