/**
 * Answers the hello, join, vote release and handover requests of peers.
 * @module
 */
import type { DurableWatermarks } from "./durable_watermarks.ts";
import type { Elections } from "./elections.ts";
import { NO_MEMBERS } from "./log_store.ts";
import {
  handoverMethod,
  helloMethod,
  joinMethod,
  releaseVoteMethod,
} from "./methods.ts";
import type { LocalLeadership } from "./local_leadership.ts";
import type { ReplicaContext } from "./replica_context.ts";

/**
 * Reports to a starting replica whether a cluster was formed and whether its
 * disk was rolled back. Before this replica has read its own disk, it does not
 * state whether there is a cluster.
 */
export function handleHellos(
  context: ReplicaContext,
  marks: DurableWatermarks,
): void {
  const { local, termState, rpc } = context;
  rpc.handle(helloMethod, (request) =>
    Promise.resolve({
      formed: local.log && (termState.term > 0 || local.log.lastIndex > 1),
      rolledBack: marks.isRolledBack(request),
      members: local.log?.membership ?? NO_MEMBERS,
    }));
}

/** Adds replicas as learners while this one leads. */
export function handleJoins(
  { rpc, contact }: ReplicaContext,
  leadership: LocalLeadership,
): void {
  rpc.handle(joinMethod, (request) =>
    Promise.resolve({
      accepted: leadership.admit(request),
      leader: contact.address,
    }));
}

/** Makes voters that stop learners while this replica leads. */
export function handleVoteReleases(
  { rpc }: ReplicaContext,
  leadership: LocalLeadership,
): void {
  rpc.handle(
    releaseVoteMethod,
    ({ identity }) =>
      Promise.resolve({ accepted: leadership.release(identity) }),
  );
}

/**
 * Starts an election when the leader of this term asks for it; replies once the
 * election has ended.
 */
export function handleHandover(
  { rpc, termState, local }: ReplicaContext,
  elections: Elections,
): void {
  rpc.handle(handoverMethod, async (request) => {
    if (request.term !== termState.term || local.role !== "follower") {
      return { started: false };
    }
    await elections.campaign({ handover: true });
    return { started: true };
  });
}
