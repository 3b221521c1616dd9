/**
 * Decides which single membership change is due: a learner is added, promoted
 * or removed, or a silent voter is demoted to a learner. These functions only
 * decide; a leader appends the result, one change at a time.
 *
 * A voter that is silent may be gone, stand still or be cut off, and nobody can
 * tell which. It keeps its vote until another replica is ready to take its
 * place, or until its vote only makes the quorum larger. What was demoted stays
 * a learner, and votes again once it answers and has caught up. Each change is
 * of one replica, so quorums before and after it have a voter in common.
 * @module
 */
import type { Membership, ReplicaInfo } from "./log_store.ts";
import { quorumSize } from "./quorum.ts";

/** Silence after which a voter may be demoted, in milliseconds. */
const VOTER_SILENCE_LIMIT_MS = 6_000;
/**
 * Silence after which a learner that has caught up takes the place of a voter,
 * in multiples of the longest silence of a replica that answers. A leader that
 * has just been elected has counted for no longer than its own term.
 */
const REPLACED_VOTER_SILENCE_FACTOR = 2;
/** Silence after which a learner is removed, in milliseconds. */
const LEARNER_SILENCE_LIMIT_MS = 120_000;

/** State of the peers, as the leader knows it. */
export interface PeerStatus {
  /**
   * Time since a replica last answered, in milliseconds, or since the leader
   * began to count.
   */
  silenceMs(replica: ReplicaInfo): number;
  /** Whether a replica has answered since the leader began to count. */
  hasAnswered(replica: ReplicaInfo): boolean;
  /** Whether a replica has stated that it is about to stop. */
  isLeaving(replica: ReplicaInfo): boolean;
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

function isAnswering(replica: ReplicaInfo, peers: PeerStatus): boolean {
  return peers.hasAnswered(replica) &&
    peers.silenceMs(replica) <= peers.responsiveMs;
}

/**
 * Demotes a voter to a learner, unless too few of the others answer to go on
 * without it.
 */
function demote(
  { voters, learners }: Membership,
  { voter, peers }: { voter: ReplicaInfo; peers: PeerStatus },
): Membership | undefined {
  const others = voters.filter((other) => other !== voter);
  const answering = others.filter((other) => isAnswering(other, peers));
  return answering.length >= quorumSize(others.length)
    ? { voters: others, learners: [...learners, voter] }
    : undefined;
}

/** Returns the voter that has been silent for longest, if for over a limit. */
function findSilentVoter(
  { voters }: Membership,
  { limitMs, peers }: { limitMs: number; peers: PeerStatus },
): ReplicaInfo | undefined {
  return voters
    .filter((voter) => peers.silenceMs(voter) > limitMs)
    .sort((one, other) => peers.silenceMs(other) - peers.silenceMs(one))[0];
}

/**
 * Demotes a voter that has been silent for too long to a learner, but only from
 * an even number of voters, which tolerates no more failures than one voter
 * fewer. The replica can be promoted again once it answers.
 */
export function withoutSilentVoter(
  membership: Membership,
  peers: PeerStatus,
): Membership | undefined {
  const limitMs = VOTER_SILENCE_LIMIT_MS;
  const voter = findSilentVoter(membership, { limitMs, peers });
  return voter && membership.voters.length % 2 === 0
    ? demote(membership, { voter, peers })
    : undefined;
}

/**
 * Demotes a voter that is about to stop, under the same condition as a silent
 * one: from an even number of voters.
 */
export function withoutLeavingVoter(
  membership: Membership,
  { identity, peers }: { identity: string; peers: PeerStatus },
): Membership | undefined {
  const voter = membership.voters.find((one) => one.identity === identity);
  return voter && membership.voters.length % 2 === 0
    ? demote(membership, { voter, peers })
    : undefined;
}

/**
 * Promotes a learner that has caught up to a voter. Where it takes the place of
 * another voter, this step removes or demotes that one, and a later step promotes
 * the learner. Its place is that of
 * - the voter on its VM or address, whose disk is lost, or else
 * - of an odd number of voters, the one that has been silent for longest. Beside a
 *   voter that is gone, one more makes the quorum larger and bears no further
 *   loss. The number is even then, so it takes the place of one voter only.
 *
 * While it is open whether a voter is silent, the learner waits.
 */
export function withPromotedLearner(
  membership: Membership,
  peers: PeerStatus,
): Membership | undefined {
  const { voters, learners } = membership;
  const ready = learners.find((learner) =>
    peers.caughtUp(learner) && isAnswering(learner, peers) &&
    !peers.isLeaving(learner)
  );
  if (!ready) {
    return undefined;
  }
  const earlier = voters.find((voter) => sameVmOrAddress(voter, ready));
  if (earlier) {
    return { voters: voters.filter((voter) => voter !== earlier), learners };
  }
  if (voters.length % 2 === 1) {
    const limitMs = peers.responsiveMs * REPLACED_VOTER_SILENCE_FACTOR;
    const silent = findSilentVoter(membership, { limitMs, peers });
    if (silent) {
      return demote(membership, { voter: silent, peers });
    }
    if (!voters.every((voter) => isAnswering(voter, peers))) {
      return undefined;
    }
  }
  return {
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
