/**
 * One term of leadership: it commits what a quorum holds, changes the
 * membership one step at a time, and ends when no quorum answers.
 * @module
 */
import type { Logger } from "../core/logger.ts";
import { sleep } from "../time/timer.ts";
import { handOverTo, settleChanges } from "./handover.ts";
import type { Entry, Membership, ReplicaInfo } from "./log_store.ts";
import {
  isMember,
  type PeerFacts,
  withLearner,
  withoutGoneLearner,
  withoutSilentVoter,
  withPromotedLearner,
} from "./membership_changes.ts";
import { reachedByQuorum } from "./quorum.ts";
import { createQuorumReads } from "./quorum_reads.ts";
import { createReplication, type ReplicationOptions } from "./replication.ts";

/** Options of {@link createLeadership}; the marks are kept up to date here. */
export interface LeadershipOptions
  extends Omit<ReplicationOptions, "onMatched"> {
  logger: Logger;
  /** No quorum answered for an election timeout. */
  onQuorumLost: () => void;
  /** A committed membership no longer holds this replica. */
  onRemoved: () => void;
}

/** One term of leadership. */
export interface Leadership {
  /** Whether leadership is being handed over, so that nothing is taken. */
  readonly handingOver: boolean;
  /** Starts to lead. */
  begin(): void;
  /** Stops every task; peers are not told, and miss the next heartbeat. */
  end(): void;
  /** Appends a command. */
  propose(command: unknown): Entry;
  /** Commits what a quorum holds. */
  advance(): void;
  /** Returns an applied index once a quorum has confirmed the leadership. */
  confirm(): Promise<number | undefined>;
  /** Takes a replica in as a learner, unless a change is under way. */
  admit(replica: ReplicaInfo): boolean;
  /** Brings one follower up to date and lets it take over. */
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
    confirmedSince: (asked) =>
      voters().length === 1 || quorumValue(answeredAt) >= asked,
    waitMs: tuning.electionMs,
    lookMs: tuning.heartbeatMs,
  });
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

  /** Value that a quorum of voters reaches, given each voter's own. */
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
      updateMarks();
      wake();
      answered.ring();
      const committed = log.membershipIndex <= log.commitIndex;
      const member = voters().some((v) => v.identity === self.identity);
      if (committed && !member) {
        options.onRemoved();
      }
    }
  }

  function updateMarks(): void {
    for (const voter of voters()) {
      const index = Math.min(matchedBy(voter), log.commitIndex);
      const ofThisTerm = index >= firstIndex ? term : undefined;
      options.marks.raise(voter.identity, index, ofThisTerm);
    }
  }

  function changeMembership(membership: Membership | undefined): boolean {
    const settled = log.membershipIndex <= log.commitIndex &&
      firstIndex <= log.commitIndex;
    if (!membership || !settled || handingOver) {
      return false;
    }
    append({ membership });
    replication.refresh();
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

  const peers: PeerFacts = {
    silenceMs: (replica) => timer.now() - answeredAt(replica),
    caughtUp(learner) {
      const matched = replication.matchedBy(learner);
      return matched >= log.commitIndex && matched > 0;
    },
    answeringMs: tuning.electionMs,
  };

  /** The most advanced voter, those that answer before those that are silent. */
  function successor(): ReplicaInfo | undefined {
    const others = voters().filter((one) => one.identity !== self.identity);
    const answering = others.filter((one) =>
      peers.silenceMs(one) <= tuning.electionMs
    );
    return (answering.length > 0 ? answering : others)
      .sort((one, other) =>
        matchedBy(other) - matchedBy(one) || answeredAt(other) - answeredAt(one)
      )[0];
  }

  /** Looks after quorum and membership until leadership ends. */
  async function watch(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, tuning.heartbeatMs, { signal });
      const heardAt = quorumValue(answeredAt);
      if (timer.now() - heardAt > tuning.electionMs) {
        options.onQuorumLost();
        return;
      }
      changeMembership(withoutSilentVoter(log.membership, peers));
      changeMembership(withPromotedLearner(log.membership, peers));
      changeMembership(withoutGoneLearner(log.membership, peers));
    }
  }

  return {
    get handingOver() {
      return handingOver;
    },
    begin() {
      firstIndex = append({}).index;
      replication.refresh();
      supervisor.start("leadership.watch", watch);
      advance();
    },
    end: () => void supervisor.stop(),
    propose: (command) => append({ command }),
    advance,
    confirm: () => reads.confirm(firstIndex),
    admit,
    async handOver() {
      handingOver = true;
      const target = successor();
      const handover = { ...options, signal, answered, wake, matchedBy };
      if (target) {
        await handOverTo(target, handover);
      } else {
        await settleChanges(handover);
      }
    },
  };
}
