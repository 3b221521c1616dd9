/**
 * Answers replicas that enter the cluster, and a leader that hands over.
 * @module
 */
import type { DurableMarks } from "./durable_marks.ts";
import type { Elections } from "./elections.ts";
import { NO_MEMBERS } from "./log_store.ts";
import { handoverMethod, helloMethod, joinMethod } from "./methods.ts";
import type { OwnLeadership } from "./own_leadership.ts";
import type { ReplicaParts } from "./replica_parts.ts";

/**
 * Tells a starting replica what is known of the cluster and of its disk.
 * Before its own disk was read, a replica does not say whether there is one.
 */
export function handleHellos(parts: ReplicaParts, marks: DurableMarks): void {
  const { local, ballot, rpc } = parts;
  rpc.handle(helloMethod, (request) =>
    Promise.resolve({
      formed: local.log && (ballot.term > 0 || local.log.lastIndex > 1),
      rolledBack: marks.isRolledBack(request),
      members: local.log?.membership ?? NO_MEMBERS,
    }));
}

/** Takes replicas in as learners while this one leads. */
export function handleJoins(
  { rpc, contact }: ReplicaParts,
  leadership: OwnLeadership,
): void {
  rpc.handle(joinMethod, (request) =>
    Promise.resolve({
      accepted: leadership.admit(request),
      leader: contact.address,
    }));
}

/**
 * Stands for election when the leader of this term asks for it; the leader is
 * answered once the election has ended.
 */
export function handleHandover(
  { rpc, ballot, local }: ReplicaParts,
  elections: Elections,
): void {
  rpc.handle(handoverMethod, async (request) => {
    if (request.term !== ballot.term || local.role !== "follower") {
      return { started: false };
    }
    await elections.campaign({ handover: true });
    return { started: true };
  });
}
