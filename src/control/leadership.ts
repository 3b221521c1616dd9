/**
 * One term of leadership. The leader commits entries that a quorum has stored,
 * changes the membership one step at a time, and steps down when no quorum
 * answers.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import { sleep } from "../time/timer.ts";
import { awaitCommits, handOverTo } from "./handover.ts";
import { encodeCommand } from "./log_command.ts";
import type { Entry, Membership, ReplicaInfo } from "./log_store.ts";
import {
  isMember,
  type PeerStatus,
  withLearner,
  withoutExpiredLearner,
  withoutLeavingVoter,
  withoutSilentVoter,
  withPromotedLearner,
} from "./membership_changes.ts";
import { reachedByQuorum } from "./quorum.ts";
import { createQuorumReads } from "./quorum_reads.ts";
import { createReplication, type ReplicationOptions } from "./replication.ts";

/**
 * Options of {@link createLeadership}; the leader updates `marks` on each
 * commit.
 */
export interface LeadershipOptions
  extends Omit<ReplicationOptions, "onMatched"> {
  logger: Logger;
  /** Called when no quorum answered for an election timeout, to step down. */
  onQuorumLost: () => void;
  /**
   * Called when this replica is no voter of the committed membership, to step
   * down.
   */
  onRemoved: () => void;
}

/**
 * Time for which a replica that is about to stop is not made a voter again, in
 * milliseconds; it is silent by then, or it has restarted.
 */
const LEAVING_MS = 1_500;

/** One term of leadership. */
export interface Leadership {
  /**
   * Whether leadership is being handed over; callers then append no commands.
   */
  readonly handingOver: boolean;
  /** Starts to lead: appends an empty entry and starts replication. */
  begin(): void;
  /**
   * Stops every task. Peers are not notified; they notice the missing
   * heartbeats.
   */
  end(): void;
  /** Appends a command. */
  propose(command: unknown): Entry;
  /** Commits the entries that a quorum has stored. */
  advance(): void;
  /**
   * Confirms the leadership with a quorum; returns the applied index, or
   * `undefined` if leadership ended or no quorum answered in time.
   */
  confirm(): Promise<number | undefined>;
  /**
   * Adds a replica as a learner, unless it is a member already. Returns false if
   * an earlier membership change or the first entry of this term is not
   * committed yet, or if leadership is being handed over.
   */
  admit(replica: ReplicaInfo): boolean;
  /**
   * Makes a voter that is about to stop a learner, where the quorum bears no less
   * without it. Returns false if it remains a voter for now.
   */
  release(identity: string): boolean;
  /** Brings one follower up to date and lets it take over the leadership. */
  handOver(): Promise<void>;
}

/** Creates one term of leadership. */
export function createLeadership(options: LeadershipOptions): Leadership {
  const { self, term, log, timer, logger, supervisor, tuning } = options;
  const { signal } = supervisor;
  const startedAt = timer.now();
  const startLogTime = log.lastLogTime;
  const replication = createReplication({ ...options, onMatched: advance });
  const { answered, wake } = replication;
  const reads = createQuorumReads({
    log,
    timer,
    logger,
    signal,
    answered,
    wake,
    confirmedSince: (askedAt) =>
      voters().length === 1 || quorumValue(answeredAt) >= askedAt,
    quorumTimeoutMs: tuning.electionMs,
    pollIntervalMs: tuning.heartbeatMs,
  });
  /** Times at which replicas stated that they are about to stop. */
  const leavingSince = new Map<string, number>();
  let handingOver = false;
  let firstIndex = 0;

  function logTime(): number {
    return startLogTime + Math.floor(timer.now() - startedAt);
  }

  function append(content: Partial<Entry>): Entry {
    const entry = log.append({ term, logTime: logTime(), ...content });
    wake();
    return entry;
  }

  function voters(): ReplicaInfo[] {
    return log.membership.voters;
  }

  /**
   * Highest value that a quorum of voters has reached, from each voter's value.
   */
  function quorumValue(valueOf: (voter: ReplicaInfo) => number): number {
    return reachedByQuorum(voters().map(valueOf));
  }

  function matchedBy(voter: ReplicaInfo): number {
    return voter.identity === self.identity
      ? log.durableIndex
      : replication.matchedBy(voter);
  }

  function answeredAt(voter: ReplicaInfo): number {
    return voter.identity === self.identity
      ? timer.now()
      : replication.answeredAt(voter);
  }

  function advance(): void {
    if (signal.aborted) {
      return;
    }
    const index = quorumValue(matchedBy);
    if (index > log.commitIndex && log.termAt(index) === term) {
      log.commitTo(index);
      updateWatermarks();
      wake();
      answered.notifyAll();
      const committed = log.membershipIndex <= log.commitIndex;
      const isVoter = voters().some((v) => v.identity === self.identity);
      if (committed && !isVoter) {
        options.onRemoved();
      }
    }
  }

  /**
   * Raises the watermark of each voter to the committed entries that it has
   * stored, and to this term once these include an entry of this term.
   */
  function updateWatermarks(): void {
    for (const voter of voters()) {
      const index = Math.min(matchedBy(voter), log.commitIndex);
      const watermarkTerm = index >= firstIndex ? term : undefined;
      options.marks.raise(voter.identity, index, watermarkTerm);
    }
  }

  function changeMembership(membership: Membership | undefined): boolean {
    const settled = log.membershipIndex <= log.commitIndex &&
      firstIndex <= log.commitIndex;
    if (!membership || !settled || handingOver) {
      return false;
    }
    append({ membership });
    replication.updatePeers();
    logger.info("replica.membership", {
      voters: membership.voters.map((voter) => voter.identity).join(","),
      learners: membership.learners.map((one) => one.identity).join(","),
    });
    return true;
  }

  function admit(replica: ReplicaInfo): boolean {
    return isMember(log.membership, replica.identity) ||
      changeMembership(withLearner(log.membership, replica));
  }

  function release(identity: string): boolean {
    leavingSince.set(identity, timer.now());
    const leaving = { identity, peers };
    return changeMembership(withoutLeavingVoter(log.membership, leaving));
  }

  function isLeaving({ identity }: ReplicaInfo): boolean {
    const since = leavingSince.get(identity) ?? -Infinity;
    return timer.now() - since < LEAVING_MS;
  }

  const peers: PeerStatus = {
    silenceMs: (replica) => timer.now() - answeredAt(replica),
    isLeaving,
    hasAnswered: (replica) =>
      replica.identity === self.identity || replication.hasAnswered(replica),
    caughtUp(learner) {
      const matched = replication.matchedBy(learner);
      return matched >= log.commitIndex && matched > 0;
    },
    responsiveMs: tuning.electionMs,
  };

  /**
   * The voter whose log is most advanced; voters that answered within an
   * election timeout take precedence over silent ones.
   */
  function chooseSuccessor(): ReplicaInfo | undefined {
    const others = voters().filter((one) => one.identity !== self.identity);
    const answering = others.filter((one) =>
      peers.silenceMs(one) <= tuning.electionMs
    );
    return (answering.length > 0 ? answering : others)
      .sort((one, other) =>
        matchedBy(other) - matchedBy(one) || answeredAt(other) - answeredAt(one)
      )[0];
  }

  /**
   * Checks the quorum and the membership at each heartbeat interval until
   * leadership ends.
   */
  async function watch(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, tuning.heartbeatMs, { signal });
      const quorumAnsweredAt = quorumValue(answeredAt);
      if (timer.now() - quorumAnsweredAt > tuning.electionMs) {
        options.onQuorumLost();
        return;
      }
      changeMembership(withoutSilentVoter(log.membership, peers));
      changeMembership(withPromotedLearner(log.membership, peers));
      changeMembership(withoutExpiredLearner(log.membership, peers));
    }
  }

  return {
    get handingOver() {
      return handingOver;
    },
    begin() {
      firstIndex = append({}).index;
      replication.updatePeers();
      supervisor.start("leadership.watch", watch);
      advance();
    },
    end: () => void supervisor.stop(),
    propose: (command) => append({ command: encodeCommand(command) }),
    advance,
    confirm: () => reads.confirm(firstIndex),
    admit,
    release,
    async handOver() {
      handingOver = true;
      const target = chooseSuccessor();
      const handover = { ...options, signal, answered, wake, matchedBy };
      if (target) {
        await handOverTo(target, handover);
      } else {
        await awaitCommits(handover);
      }
    },
  };
}
