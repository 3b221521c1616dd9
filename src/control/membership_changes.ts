/**
 * Decides which single membership change is due: a learner is added, promoted
 * or removed, or a silent voter is demoted to a learner. These functions only
 * decide; a leader appends the result, one change at a time.
 * @module
 */
import type { Membership, ReplicaInfo } from "./log_store.ts";

/** Silence after which a voter may be demoted, in milliseconds. */
const VOTER_SILENCE_LIMIT_MS = 6_000;
/** Silence after which a learner is removed, in milliseconds. */
const LEARNER_SILENCE_LIMIT_MS = 120_000;

/** State of the peers, as the leader knows it. */
export interface PeerStatus {
  /** Time since a replica last answered, in milliseconds. */
  silenceMs(replica: ReplicaInfo): number;
  /** Whether a learner has stored all committed entries. */
  caughtUp(learner: ReplicaInfo): boolean;
  /**
   * Longest silence of a replica that still counts as answering, in
   * milliseconds.
   */
  responsiveMs: number;
}

/** Whether a replica is a voter or a learner of a membership. */
export function isMember(membership: Membership, identity: string): boolean {
  return membersOf(membership).some((member) => member.identity === identity);
}

/** All replicas of a membership. */
export function membersOf({ voters, learners }: Membership): ReplicaInfo[] {
  return [...voters, ...learners];
}

/**
 * Whether two identities have the same VM or address, so that only one of them
 * can be running.
 */
function sameVmOrAddress(one: ReplicaInfo, other: ReplicaInfo): boolean {
  return one.vm === other.vm || one.address === other.address;
}

/** Adds a replica as a learner. */
export function withLearner(
  { voters, learners }: Membership,
  replica: ReplicaInfo,
): Membership {
  // An earlier learner on the same VM or address has lost its disk again.
  const others = learners.filter((learner) =>
    !sameVmOrAddress(learner, replica)
  );
  return { voters, learners: [...others, replica] };
}

/**
 * Demotes a voter that has been silent for too long to a learner, but only from
 * an even number of voters, which tolerates no more failures than one voter
 * fewer. The replica can be promoted again once it answers.
 */
export function withoutSilentVoter(
  { voters, learners }: Membership,
  peers: PeerStatus,
): Membership | undefined {
  const silent = voters.find((voter) =>
    peers.silenceMs(voter) > VOTER_SILENCE_LIMIT_MS
  );
  if (!silent || voters.length % 2 === 1) {
    return undefined;
  }
  const others = voters.filter((voter) => voter !== silent);
  const answering = others.filter((voter) =>
    peers.silenceMs(voter) <= peers.responsiveMs
  );
  return answering.length > others.length / 2
    ? { voters: others, learners: [...learners, silent] }
    : undefined;
}

/**
 * Promotes a learner that has caught up to a voter. If a voter has the same VM
 * or address, this step removes that voter, and a later one promotes the
 * learner.
 */
export function withPromotedLearner(
  { voters, learners }: Membership,
  peers: PeerStatus,
): Membership | undefined {
  const ready = learners.find((learner) =>
    peers.caughtUp(learner) && peers.silenceMs(learner) <= peers.responsiveMs
  );
  if (!ready) {
    return undefined;
  }
  const replaced = voters.find((voter) => sameVmOrAddress(voter, ready));
  return replaced
    ? { voters: voters.filter((voter) => voter !== replaced), learners }
    : {
      voters: [...voters, ready],
      learners: learners.filter((learner) => learner !== ready),
    };
}

/** Removes a learner that has been silent for too long. */
export function withoutExpiredLearner(
  { voters, learners }: Membership,
  peers: PeerStatus,
): Membership | undefined {
  const expired = learners.find((one) =>
    peers.silenceMs(one) > LEARNER_SILENCE_LIMIT_MS
  );
  return expired &&
    { voters, learners: learners.filter((one) => one !== expired) };
}
