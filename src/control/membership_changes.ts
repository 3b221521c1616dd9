/**
 * Which single step of membership is due: a learner taken in, made a voter or
 * dropped, or a silent voter that loses its vote. Decisions only; a leader
 * appends what they return, one change at a time.
 * @module
 */
import type { Membership, ReplicaInfo } from "./log_store.ts";

/** Silence after which a voter may lose its vote, in milliseconds. */
const SILENT_VOTER_MS = 6_000;
/** Silence after which a learner is dropped, in milliseconds. */
const GONE_LEARNER_MS = 120_000;

/** What a leader knows of its peers. */
export interface PeerFacts {
  /** Time since a replica last answered, in milliseconds. */
  silenceMs(replica: ReplicaInfo): number;
  /** Whether a learner holds everything that is committed. */
  caughtUp(learner: ReplicaInfo): boolean;
  /** Silence up to which a replica counts as answering, in milliseconds. */
  answeringMs: number;
}

/** Whether a membership holds a replica, as voter or as learner. */
export function isMember(membership: Membership, identity: string): boolean {
  return membersOf(membership).some((member) => member.identity === identity);
}

/** All replicas of a membership. */
export function membersOf({ voters, learners }: Membership): ReplicaInfo[] {
  return [...voters, ...learners];
}

/** Whether two replicas stand in the same place, so that only one is alive. */
function samePlace(one: ReplicaInfo, other: ReplicaInfo): boolean {
  return one.vm === other.vm || one.address === other.address;
}

/** Takes a replica in as a learner. */
export function withLearner(
  { voters, learners }: Membership,
  replica: ReplicaInfo,
): Membership {
  // An earlier learner of the same VM has lost its disk again.
  const others = learners.filter((learner) => !samePlace(learner, replica));
  return { voters, learners: [...others, replica] };
}

/**
 * Takes the vote of a replica that has been silent for long, where that costs
 * nothing: an even number of voters bears no more losses than one voter less.
 * It stays a learner, so that it votes again once it is back.
 */
export function withoutSilentVoter(
  { voters, learners }: Membership,
  facts: PeerFacts,
): Membership | undefined {
  const silent = voters.find((voter) =>
    facts.silenceMs(voter) > SILENT_VOTER_MS
  );
  if (!silent || voters.length % 2 === 1) {
    return undefined;
  }
  const others = voters.filter((voter) => voter !== silent);
  const answering = others.filter((voter) =>
    facts.silenceMs(voter) <= facts.answeringMs
  );
  return answering.length > others.length / 2
    ? { voters: others, learners: [...learners, silent] }
    : undefined;
}

/**
 * Makes a learner that has caught up a voter, in two single steps where it
 * replaces a voter of the same place.
 */
export function withPromotedLearner(
  { voters, learners }: Membership,
  facts: PeerFacts,
): Membership | undefined {
  const ready = learners.find((learner) =>
    facts.caughtUp(learner) && facts.silenceMs(learner) <= facts.answeringMs
  );
  if (!ready) {
    return undefined;
  }
  const replaced = voters.find((voter) => samePlace(voter, ready));
  return replaced
    ? { voters: voters.filter((voter) => voter !== replaced), learners }
    : {
      voters: [...voters, ready],
      learners: learners.filter((learner) => learner !== ready),
    };
}

/** Drops a learner that is gone for good. */
export function withoutGoneLearner(
  { voters, learners }: Membership,
  facts: PeerFacts,
): Membership | undefined {
  const gone = learners.find((one) => facts.silenceMs(one) > GONE_LEARNER_MS);
  return gone &&
    { voters, learners: learners.filter((one) => one !== gone) };
}
