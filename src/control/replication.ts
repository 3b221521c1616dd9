/**
 * Brings the peers of a leader up to date, with one task for each peer: entries
 * and heartbeats, or a snapshot where the entries are no longer held.
 * @module
 */
import { type Bell, createBell, type Supervisor } from "../core/tasks.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { DurableMarks } from "./durable_marks.ts";
import type { ReplicaInfo, Snapshot } from "./log_store.ts";
import { membersOf } from "./membership_changes.ts";
import { appendMethod, snapshotMethod } from "./methods.ts";
import type { ReplicaLog } from "./replica_log.ts";
import type { ReplicaTuning } from "./tuning.ts";

/** Options of {@link createReplication}. */
export interface ReplicationOptions {
  self: ReplicaInfo;
  term: number;
  log: ReplicaLog;
  rpc: Rpc;
  timer: Timer;
  /** Parent of the tasks; its end ends them. */
  supervisor: Supervisor;
  tuning: ReplicaTuning;
  /** Passed on with every heartbeat. */
  marks: DurableMarks;
  /** A peer has seen a newer term. */
  onNewerTerm: (term: number) => void;
  /** A peer holds more entries. */
  onMatched: () => void;
}

/** The peers of a leader and how far each has come. */
export interface Replication {
  /** Rings when a peer has answered; a leader rings it too on a commit. */
  readonly answered: Bell;
  /** Starts tasks for new members and ends those of removed ones. */
  refresh(): void;
  /** Sends to all peers now rather than at the next heartbeat. */
  wake(): void;
  /** Index up to which a replica holds the leader's log; 0 if not known. */
  matchedBy(replica: ReplicaInfo): number;
  /** Send time of the newest request that a replica answered. */
  answeredAt(replica: ReplicaInfo): number;
}

/** What every reply of a peer tells. */
interface PeerReply {
  term: number;
  /** The peer takes no part: it neither holds entries nor counts for a quorum. */
  refused?: true;
}

interface Progress {
  replica: ReplicaInfo;
  next: number;
  matched: number;
  /** Send time of the newest request that the peer answered. */
  answeredAt: number;
}

/** Creates the replication of one term, without peers yet. */
export function createReplication(options: ReplicationOptions): Replication {
  const { self, term, log, rpc, timer, supervisor, tuning } = options;
  const { signal } = supervisor;
  const progress = new Map<string, Progress>();
  const bell = createBell(timer);
  const answered = createBell(timer);
  const startedAt = timer.now();

  /** Calls a peer; a call that fails or is refused is followed by a pause. */
  async function callPeer<Q, R extends PeerReply>(
    peer: Progress,
    method: Method<Q, R>,
    request: Q,
  ): Promise<R | undefined> {
    const reply = await rpc.call({
      peer: peer.replica.address,
      method,
      request,
      timeoutMs: tuning.callMs,
    });
    if (reply.isOk() && !reply.value.refused) {
      return reply.value;
    }
    if (reply.isOk()) {
      isOver(reply.value);
    }
    await sleep(timer, tuning.heartbeatMs, { signal });
    return undefined;
  }

  function header(peer: Progress) {
    return { to: peer.replica.identity, term, leader: self };
  }

  /** Whether a peer's reply shows that this term is over. */
  function isOver(reply: { term: number }): boolean {
    if (reply.term <= term) {
      return false;
    }
    options.onNewerTerm(reply.term);
    return true;
  }

  /**
   * Sends a snapshot part by part. The end of leadership, a call that fails or
   * a newer term ends it; the peer is not told, and drops the parts it holds
   * when the next snapshot begins.
   */
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
      const reply = await callPeer(peer, snapshotMethod, {
        ...header(peer),
        index: snapshot.index,
        lastTerm: snapshot.term,
        logTime: snapshot.logTime,
        membership: snapshot.membership,
        offset,
        bytes: new Uint8Array(bytes),
        last,
      });
      if (!reply || isOver(reply)) {
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

  async function sendEntries(peer: Progress): Promise<void> {
    const previousIndex = peer.next - 1;
    const previousTerm = log.termAt(previousIndex) ?? 0;
    const entries = log.batchFrom(peer.next);
    const sentAt = timer.now();
    const reply = await callPeer(peer, appendMethod, {
      ...header(peer),
      previousIndex,
      previousTerm,
      entries,
      commitIndex: log.commitIndex,
      marks: options.marks.all(),
    });
    if (!reply || signal.aborted || isOver(reply)) {
      return;
    }
    peer.answeredAt = sentAt;
    answered.ring();
    if (reply.accepted) {
      peer.matched = Math.max(peer.matched, reply.lastIndex);
      peer.next = peer.matched + 1;
      options.onMatched();
    } else {
      peer.next = Math.max(1, Math.min(reply.lastIndex + 1, previousIndex));
    }
  }

  /**
   * Keeps one peer up to date. The end of leadership or of the membership ends
   * it: the peer is sent nothing more, and a call under way is waited for.
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
      await sendEntries(peer);
      const more = peer.next <= log.lastIndex || sentCommit < log.commitIndex;
      if (!more) {
        await bell.wait(tuning.heartbeatMs);
      }
    }
  }

  function add(replica: ReplicaInfo): void {
    const peer: Progress = {
      replica,
      next: log.lastIndex + 1,
      matched: 0,
      answeredAt: timer.now(),
    };
    progress.set(replica.identity, peer);
    supervisor.start(`replicate.${replica.identity}`, () => replicate(peer));
  }

  signal.addEventListener("abort", () => {
    bell.ring();
    answered.ring();
  }, { once: true });

  return {
    answered,
    wake: bell.ring,
    refresh() {
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
        .forEach(add);
    },
    matchedBy: (replica) => progress.get(replica.identity)?.matched ?? 0,
    answeredAt: (replica) =>
      progress.get(replica.identity)?.answeredAt ?? startedAt,
  };
}
