/**
 * What a replica does while it leads: one replication task for each peer,
 * the quorum check, quorum reads, and changes of membership one at a time.
 * @module
 */
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import { createBell, type Supervisor } from "../core/tasks.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer, withTimeout } from "../time/timer.ts";
import type { Entry, Membership, ReplicaInfo, Snapshot } from "./log_store.ts";
import {
  appendMethod,
  handoverMethod,
  type Mark,
  snapshotMethod,
} from "./methods.ts";
import type { ReplicaLog } from "./replica_log.ts";
import type { ReplicaTuning } from "./tuning.ts";

/** Silence after which a voter may lose its vote, in milliseconds. */
const SILENT_VOTER_MS = 6_000;
/** Silence after which a learner is dropped, in milliseconds. */
const GONE_LEARNER_MS = 120_000;

/** Options of {@link createLeadership}. */
export interface LeadershipOptions {
  self: ReplicaInfo;
  term: number;
  log: ReplicaLog;
  rpc: Rpc;
  timer: Timer;
  logger: Logger;
  supervisor: Supervisor;
  tuning: ReplicaTuning;
  /** Newest durable marks of all replicas, kept up to date here. */
  marks: Map<string, Mark>;
  /** A peer has seen a newer term. */
  onNewerTerm: (term: number) => void;
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
  /** Stops every task. */
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

interface Progress {
  replica: ReplicaInfo;
  next: number;
  matched: number;
  /** Send time of the newest request that the peer answered. */
  answeredAt: number;
}

/** Whether two replicas stand in the same place, so that only one is alive. */
function samePlace(one: ReplicaInfo, other: ReplicaInfo): boolean {
  return one.vm === other.vm || one.address === other.address;
}

/** Creates one term of leadership. */
export function createLeadership(options: LeadershipOptions): Leadership {
  const { self, term, log, rpc, timer, logger, supervisor, tuning } = options;
  const { signal } = supervisor;
  const progress = new Map<string, Progress>();
  const bell = createBell(timer);
  const answered = createBell(timer);
  const startedAt = timer.now();
  const startLogTime = log.lastLogTime;
  let handingOver = false;
  let firstIndex = 0;

  function logTime(): number {
    return startLogTime + Math.floor(timer.now() - startedAt);
  }

  function append(content: Partial<Entry>): Entry {
    const entry = log.append({ term, logTime: logTime(), ...content });
    bell.ring();
    return entry;
  }

  function voters(): ReplicaInfo[] {
    return log.membership.voters;
  }

  function needed(): number {
    return Math.floor(voters().length / 2) + 1;
  }

  /** Value that a quorum of voters reaches, given each voter's own. */
  function quorumValue(valueOf: (voter: ReplicaInfo) => number): number {
    const values = voters().map(valueOf).sort((one, other) => other - one);
    return values[needed() - 1] ?? 0;
  }

  function matchedBy(voter: ReplicaInfo): number {
    return voter.identity === self.identity
      ? log.durableIndex
      : progress.get(voter.identity)?.matched ?? 0;
  }

  function answeredAt(voter: ReplicaInfo): number {
    return voter.identity === self.identity
      ? timer.now()
      : progress.get(voter.identity)?.answeredAt ?? startedAt;
  }

  function advance(): void {
    if (signal.aborted) {
      return;
    }
    const index = quorumValue(matchedBy);
    if (index > log.commitIndex && log.termAt(index) === term) {
      log.commitTo(index);
      updateMarks();
      bell.ring();
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
      const { identity } = voter;
      const index = Math.min(matchedBy(voter), log.commitIndex);
      const earlier = options.marks.get(identity);
      options.marks.set(identity, {
        identity,
        index: Math.max(index, earlier?.index ?? 0),
        term: index >= firstIndex ? term : earlier?.term ?? 0,
      });
    }
  }

  async function sendSnapshot(
    peer: Progress,
    snapshot: Snapshot,
  ): Promise<void> {
    let offset = 0;
    while (!signal.aborted) {
      const end = offset + tuning.snapshotPartBytes;
      const bytes = snapshot.state.subarray(offset, end);
      const last = end >= snapshot.state.length;
      const sentAt = timer.now();
      const reply = await rpc.call({
        peer: peer.replica.address,
        method: snapshotMethod,
        request: {
          to: peer.replica.identity,
          term,
          leader: self,
          index: snapshot.index,
          lastTerm: snapshot.term,
          logTime: snapshot.logTime,
          membership: snapshot.membership,
          offset,
          bytes: new Uint8Array(bytes),
          last,
        },
        timeoutMs: tuning.callMs,
      });
      if (reply.isErr()) {
        await sleep(timer, tuning.heartbeatMs, { signal });
        return;
      }
      if (reply.value.term > term) {
        options.onNewerTerm(reply.value.term);
        return;
      }
      peer.answeredAt = sentAt;
      if (last && reply.value.received >= snapshot.state.length) {
        peer.matched = Math.max(peer.matched, snapshot.index);
        peer.next = snapshot.index + 1;
        return;
      }
      offset = reply.value.received;
    }
  }

  async function sendEntries(peer: Progress): Promise<void> {
    const previousIndex = peer.next - 1;
    const previousTerm = log.termAt(previousIndex) ?? 0;
    const entries = log.batchFrom(peer.next);
    const sentAt = timer.now();
    const reply = await rpc.call({
      peer: peer.replica.address,
      method: appendMethod,
      request: {
        to: peer.replica.identity,
        term,
        leader: self,
        previousIndex,
        previousTerm,
        entries,
        commitIndex: log.commitIndex,
        marks: [...options.marks.values()],
      },
      timeoutMs: tuning.callMs,
    });
    if (signal.aborted) {
      return;
    }
    if (reply.isErr()) {
      await sleep(timer, tuning.heartbeatMs, { signal });
      return;
    }
    if (reply.value.term > term) {
      options.onNewerTerm(reply.value.term);
      return;
    }
    peer.answeredAt = sentAt;
    answered.ring();
    if (reply.value.accepted) {
      peer.matched = Math.max(peer.matched, reply.value.lastIndex);
      peer.next = peer.matched + 1;
      advance();
    } else {
      peer.next = Math.max(
        1,
        Math.min(reply.value.lastIndex + 1, previousIndex),
      );
    }
  }

  async function replicate(peer: Progress): Promise<void> {
    const { identity } = peer.replica;
    let sentCommit = -1;
    while (!signal.aborted && progress.get(identity) === peer) {
      const held = peer.next > log.baseIndex;
      if (!held && log.snapshot) {
        await sendSnapshot(peer, log.snapshot);
        continue;
      }
      sentCommit = log.commitIndex;
      await sendEntries(peer);
      const more = peer.next <= log.lastIndex || sentCommit < log.commitIndex;
      if (!more) {
        await bell.wait(tuning.heartbeatMs);
      }
    }
  }

  /** Starts tasks for new members and ends those of removed ones. */
  function refreshPeers(): void {
    const members = [...log.membership.voters, ...log.membership.learners];
    const wanted = new Set(members.map((member) => member.identity));
    for (const identity of progress.keys()) {
      if (!wanted.has(identity)) {
        progress.delete(identity);
      }
    }
    for (const replica of members) {
      const known = progress.has(replica.identity);
      if (replica.identity === self.identity || known) {
        continue;
      }
      const peer: Progress = {
        replica,
        next: log.lastIndex + 1,
        matched: 0,
        answeredAt: timer.now(),
      };
      progress.set(replica.identity, peer);
      supervisor.start(`replicate.${replica.identity}`, () => replicate(peer));
    }
  }

  function changeMembership(membership: Membership): boolean {
    const settled = log.membershipIndex <= log.commitIndex &&
      firstIndex <= log.commitIndex;
    if (!settled || handingOver) {
      return false;
    }
    append({ membership });
    refreshPeers();
    logger.info("replica.membership", {
      voters: membership.voters.map((voter) => voter.identity).join(","),
      learners: membership.learners.map((one) => one.identity).join(","),
    });
    return true;
  }

  function admit(replica: ReplicaInfo): boolean {
    const { voters: current, learners } = log.membership;
    const known = [...current, ...learners].some((member) =>
      member.identity === replica.identity
    );
    if (known) {
      return true;
    }
    // An earlier learner of the same VM has lost its disk again.
    const others = learners.filter((learner) => !samePlace(learner, replica));
    return changeMembership({
      voters: current,
      learners: [...others, replica],
    });
  }

  /** Makes a learner that has caught up a voter, in two single steps. */
  function promoteLearner(): void {
    const { voters: current, learners } = log.membership;
    const ready = learners.find((learner) => {
      const peer = progress.get(learner.identity);
      return peer !== undefined && peer.matched >= log.commitIndex &&
        peer.matched > 0 && silenceOf(learner) <= tuning.electionMs;
    });
    if (!ready) {
      return;
    }
    const replaced = current.find((voter) => samePlace(voter, ready));
    if (replaced) {
      changeMembership({
        voters: current.filter((voter) => voter !== replaced),
        learners,
      });
      return;
    }
    changeMembership({
      voters: [...current, ready],
      learners: learners.filter((learner) => learner !== ready),
    });
  }

  function silenceOf(replica: ReplicaInfo): number {
    return timer.now() - answeredAt(replica);
  }

  /**
   * Takes the vote of a replica that has been silent for long, where that
   * costs nothing: an even number of voters bears no more losses than one
   * voter less. It stays a learner, so that it votes again once it is back.
   */
  function demoteSilentVoter(): void {
    const { voters: current, learners } = log.membership;
    const silent = current.find((voter) => silenceOf(voter) > SILENT_VOTER_MS);
    if (!silent || current.length % 2 === 1) {
      return;
    }
    const others = current.filter((voter) => voter !== silent);
    const answering = others.filter((voter) =>
      silenceOf(voter) <= tuning.electionMs
    );
    if (answering.length > others.length / 2) {
      changeMembership({ voters: others, learners: [...learners, silent] });
    }
  }

  /** Drops a learner that is gone for good. */
  function dropSilentLearner(): void {
    const { voters: current, learners } = log.membership;
    const gone = learners.find((one) => silenceOf(one) > GONE_LEARNER_MS);
    if (gone) {
      changeMembership({
        voters: current,
        learners: learners.filter((one) => one !== gone),
      });
    }
  }

  async function watch(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, tuning.heartbeatMs, { signal });
      const heardAt = quorumValue(answeredAt);
      if (timer.now() - heardAt > tuning.electionMs) {
        options.onQuorumLost();
        return;
      }
      demoteSilentVoter();
      promoteLearner();
      dropSilentLearner();
    }
  }

  async function confirm(): Promise<number | undefined> {
    const asked = timer.now();
    const index = Math.max(log.commitIndex, firstIndex);
    const deadline = asked + tuning.electionMs;
    bell.ring();
    while (!signal.aborted && timer.now() < deadline) {
      const confirmed = voters().length === 1 ||
        quorumValue(answeredAt) >= asked;
      if (confirmed && log.appliedIndex >= index) {
        return log.appliedIndex;
      }
      await answered.wait(tuning.heartbeatMs);
    }
    return undefined;
  }

  async function handOver(): Promise<void> {
    handingOver = true;
    const target = voters()
      .filter((voter) => voter.identity !== self.identity)
      .sort((one, other) => matchedBy(other) - matchedBy(one))[0];
    if (!target) {
      return;
    }
    const deadline = timer.now() + tuning.electionMs;
    bell.ring();
    while (
      timer.now() < deadline && !signal.aborted &&
      (matchedBy(target) < log.lastIndex || log.commitIndex < log.lastIndex)
    ) {
      await answered.wait(tuning.heartbeatMs);
    }
    const reply = await rpc.call({
      peer: target.address,
      method: handoverMethod,
      request: { term },
      timeoutMs: tuning.callMs,
    });
    logger.info("replica.handed_over", {
      to: target.identity,
      started: reply.isOk() && reply.value.started,
    });
  }

  return {
    get handingOver() {
      return handingOver;
    },
    begin() {
      firstIndex = append({}).index;
      refreshPeers();
      supervisor.start("leadership.watch", watch);
      advance();
    },
    end: () => {
      void supervisor.stop();
      bell.ring();
      answered.ring();
    },
    propose: (command) => append({ command }),
    advance,
    confirm: () =>
      withTimeout(timer, confirm(), {
        step: "leadership.confirm",
        peer: "quorum",
        timeoutMs: tuning.electionMs * 2,
      }).catch((error) => {
        logger.warn("replica.confirm_failed", errorFields(error));
        return undefined;
      }),
    admit,
    handOver,
  };
}
