/**
 * Answers the calls of candidates.
 * @module
 */
import { voteMethod } from "./methods.ts";
import type { ReplicaLog } from "./replica_log.ts";
import { hearsLeader, type ReplicaParts } from "./replica_parts.ts";

function isUpToDate(
  log: ReplicaLog,
  { lastTerm, lastIndex }: { lastTerm: number; lastIndex: number },
): boolean {
  return lastTerm > log.lastTerm ||
    (lastTerm === log.lastTerm && lastIndex >= log.lastIndex);
}

/**
 * Answers candidates. A vote is durable before the candidate is told of it; if
 * the disk fails meanwhile, the call fails and no vote was given.
 */
export function handleVotes(parts: ReplicaParts): void {
  const { local, ballot, contact, serial, rpc } = parts;
  rpc.handle(voteMethod, (request) =>
    serial.run(async () => {
      const { term, candidate, pre, handover } = request;
      const deny = { term: ballot.term, granted: false };
      if (!local.isMeant(request.to) || term < ballot.term) {
        return deny;
      }
      if (hearsLeader(parts) && !handover) {
        return deny;
      }
      const fresh = isUpToDate(local.openLog(), request);
      if (pre) {
        return { term: ballot.term, granted: fresh && local.isVoter() };
      }
      await ballot.adopt(term);
      const free = ballot.votedFor === "" || ballot.votedFor === candidate;
      if (!free || !fresh || !local.isVoter()) {
        return { term: ballot.term, granted: false };
      }
      await ballot.save({ term, votedFor: candidate });
      contact.awaitCandidate();
      return { term, granted: true };
    }));
}
