/**
 * Replicates the log of a leader, with one task for each peer. A task sends
 * entries and heartbeats, or a snapshot if the log no longer holds the entries
 * that the peer needs.
 * @module
 */
import {
  type Condition,
  createCondition,
  type Supervisor,
} from "../core/tasks.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { DurableWatermarks } from "./durable_watermarks.ts";
import type { ReplicaInfo, Snapshot } from "./log_store.ts";
import { membersOf } from "./membership_changes.ts";
import { appendMethod, snapshotMethod } from "./methods.ts";
import type { ReplicaLog } from "./replica_log.ts";
import type { ReplicaTuning } from "./tuning.ts";

/**
 * Timeout of the first call to a peer in a term, in milliseconds; it doubles with
 * each further one, up to that of a call. A machine that has no power yet loses
 * the call, and may run a moment later.
 */
const FIRST_CALL_TIMEOUT_MS = 250;
/**
 * Pause after the first failed call to a peer in a term, in milliseconds; it
 * doubles with each further one, up to the heartbeat interval. A peer that is
 * about to take part knows the leader soon, and so do the nodes that ask it.
 */
const FIRST_RETRY_PAUSE_MS = 20;

/** Options of {@link createReplication}. */
export interface ReplicationOptions {
  self: ReplicaInfo;
  term: number;
  log: ReplicaLog;
  rpc: Rpc;
  timer: Timer;
  /** Parent of the peers' tasks, which end when it stops. */
  supervisor: Supervisor;
  tuning: ReplicaTuning;
  /** Sent with every append request. */
  marks: DurableWatermarks;
  /** Called when a peer replied with a newer term, to step down. */
  onNewerTerm: (term: number) => void;
  /**
   * Called when a peer has stored more entries, to commit what a quorum has
   * stored.
   */
  onMatched: () => void;
}

/** Replication to the peers of a leader, and the progress of each peer. */
export interface Replication {
  /**
   * Wakes waiting tasks when a peer has answered an append request; the leader
   * also notifies it on a commit.
   */
  readonly answered: Condition;
  /** Starts tasks for new members and ends those of removed ones. */
  updatePeers(): void;
  /** Sends to all peers now instead of at the next heartbeat. */
  wake(): void;
  /** Index up to which a replica's log matches the leader's; 0 if not known. */
  matchedBy(replica: ReplicaInfo): number;
  /**
   * Send time of the newest request that a replica answered. Before its first
   * answer, the time at which replication to it started.
   */
  answeredAt(replica: ReplicaInfo): number;
  /** Whether a replica has answered in this term. */
  hasAnswered(replica: ReplicaInfo): boolean;
}

/** Fields that every reply of a peer has. */
interface PeerReply {
  term: number;
  /**
   * The replica at this address does not take part, or has another identity;
   * its reply confirms no entries and does not count for a quorum.
   */
  refused?: true;
}

interface Progress {
  replica: ReplicaInfo;
  next: number;
  matched: number;
  /** Send time of the newest request that the peer answered. */
  answeredAt: number;
  /** Calls that failed before the first answer; `Infinity` after it. */
  failedFirstCalls: number;
}

/** Creates the replication of one term; `updatePeers` starts its tasks. */
export function createReplication(options: ReplicationOptions): Replication {
  const { self, term, log, rpc, timer, supervisor, tuning } = options;
  const { signal } = supervisor;
  const progress = new Map<string, Progress>();
  const sendSignal = createCondition(timer);
  const answered = createCondition(timer);
  const startedAt = timer.now();

  /** Number of times at which all peers were to be called. */
  let wakes = 0;

  /**
   * Calls a peer. Pauses after a call that failed or was refused, for a heartbeat
   * interval once the peer has answered in this term.
   */
  async function callPeer<Q, R extends PeerReply>(
    peer: Progress,
    method: Method<Q, R>,
    request: Q,
  ): Promise<R | undefined> {
    const backoff = 2 ** peer.failedFirstCalls;
    const reply = await rpc.call({
      peer: peer.replica.address,
      method,
      request,
      timeoutMs: Math.min(FIRST_CALL_TIMEOUT_MS * backoff, tuning.callMs),
    });
    if (reply.isOk() && !reply.value.refused) {
      peer.failedFirstCalls = Infinity;
      return reply.value;
    }
    if (reply.isOk()) {
      handleNewerTerm(reply.value);
    }
    peer.failedFirstCalls++;
    const pauseMs = Math.min(
      FIRST_RETRY_PAUSE_MS * backoff,
      tuning.heartbeatMs,
    );
    await sleep(timer, pauseMs, { signal });
    return undefined;
  }

  function commonFields(peer: Progress) {
    return { to: peer.replica.identity, term, leader: self };
  }

  /** Reports a newer term in a reply; returns whether there was one. */
  function handleNewerTerm(reply: { term: number }): boolean {
    if (reply.term <= term) {
      return false;
    }
    options.onNewerTerm(reply.term);
    return true;
  }

  /**
   * Sends a snapshot in chunks. It stops when leadership ends, a call fails or
   * a peer reports a newer term. The peer is not notified; it discards its chunks
   * when the next snapshot begins.
   */
  async function sendSnapshot(
    peer: Progress,
    snapshot: Snapshot,
  ): Promise<void> {
    let offset = 0;
    while (!signal.aborted) {
      const end = offset + tuning.snapshotChunkBytes;
      const bytes = snapshot.state.subarray(offset, end);
      const last = end >= snapshot.state.length;
      const sentAt = timer.now();
      const reply = await callPeer(peer, snapshotMethod, {
        ...commonFields(peer),
        index: snapshot.index,
        lastTerm: snapshot.term,
        logTime: snapshot.logTime,
        membership: snapshot.membership,
        offset,
        bytes: new Uint8Array(bytes),
        last,
      });
      if (!reply || handleNewerTerm(reply)) {
        return;
      }
      peer.answeredAt = sentAt;
      if (last && reply.received >= snapshot.state.length) {
        peer.matched = Math.max(peer.matched, snapshot.index);
        peer.next = snapshot.index + 1;
        return;
      }
      offset = reply.received;
    }
  }

  /** Sends entries or a heartbeat; resolves with whether the peer took part. */
  async function sendEntries(peer: Progress): Promise<boolean> {
    const previousIndex = peer.next - 1;
    const previousTerm = log.termAt(previousIndex) ?? 0;
    const entries = log.batchFrom(peer.next);
    const sentAt = timer.now();
    const reply = await callPeer(peer, appendMethod, {
      ...commonFields(peer),
      previousIndex,
      previousTerm,
      entries,
      commitIndex: log.commitIndex,
      marks: options.marks.all(),
    });
    if (!reply || signal.aborted || handleNewerTerm(reply)) {
      return reply !== undefined;
    }
    peer.answeredAt = sentAt;
    answered.notifyAll();
    if (reply.accepted) {
      peer.matched = Math.max(peer.matched, reply.lastIndex);
      peer.next = peer.matched + 1;
      options.onMatched();
    } else {
      peer.next = Math.max(1, Math.min(reply.lastIndex + 1, previousIndex));
    }
    return true;
  }

  /**
   * Keeps one peer up to date until leadership ends or the peer is removed from
   * the membership. It then sends nothing more, but waits for the call in
   * progress.
   */
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
      const wakesAtSend = wakes;
      const tookPart = await sendEntries(peer);
      // A read that came during the call is confirmed only by a later one.
      const more = !tookPart || peer.next <= log.lastIndex ||
        sentCommit < log.commitIndex || wakesAtSend < wakes;
      if (!more) {
        await sendSignal.wait(tuning.heartbeatMs);
      }
    }
  }

  function addPeer(replica: ReplicaInfo): void {
    const peer: Progress = {
      replica,
      next: log.lastIndex + 1,
      matched: 0,
      answeredAt: timer.now(),
      failedFirstCalls: 0,
    };
    progress.set(replica.identity, peer);
    supervisor.start(`replicate.${replica.identity}`, () => replicate(peer));
  }

  signal.addEventListener("abort", () => {
    sendSignal.notifyAll();
    answered.notifyAll();
  }, { once: true });

  return {
    answered,
    wake() {
      wakes++;
      sendSignal.notifyAll();
    },
    updatePeers() {
      const members = membersOf(log.membership);
      const wanted = new Set(members.map((member) => member.identity));
      for (const identity of progress.keys()) {
        if (!wanted.has(identity)) {
          progress.delete(identity);
        }
      }
      members
        .filter(({ identity }) =>
          identity !== self.identity && !progress.has(identity)
        )
        .forEach(addPeer);
    },
    matchedBy: (replica) => progress.get(replica.identity)?.matched ?? 0,
    answeredAt: (replica) =>
      progress.get(replica.identity)?.answeredAt ?? startedAt,
    hasAnswered: (replica) =>
      progress.get(replica.identity)?.failedFirstCalls === Infinity,
  };
}
