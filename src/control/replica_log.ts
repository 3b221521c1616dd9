/**
 * A replica's log in memory, kept in step with its durable part. Appends of a
 * leader are synced in groups; committed entries drive the machine.
 * @module
 */
import { StepError } from "../core/errors.ts";
import { createSerial } from "../core/tasks.ts";
import {
  type Entry,
  entryBytes,
  type LogStore,
  type Membership,
  NO_MEMBERS,
  type Recovered,
  type Snapshot,
} from "./log_store.ts";
import type { Machine } from "./machine.ts";

const MAX_BATCH_ENTRIES = 256;
/** Size of a batch in bytes; a call between processes takes twice as much. */
const MAX_BATCH_BYTES = 8 * 1024 * 1024;

/** Called when something about the log has changed. */
export interface LogListener {
  /** More entries are durable here. */
  durable(): void;
  /** An entry was applied, with the machine's result. */
  applied(entry: Entry, result: unknown): void;
  /** The disk failed; nothing after this is durable. */
  failed(error: unknown): void;
}

/** Options of {@link createReplicaLog}. */
export interface ReplicaLogOptions {
  /** The durable part. */
  store: LogStore;
  /** Driven by committed entries. */
  machine: Machine;
  /** What was found on disk. */
  recovered: Recovered;
  /** Entries applied between two snapshots. */
  snapshotEvery: number;
  /** Is told of changes. */
  listener: LogListener;
}

/** A replica's log. */
export interface ReplicaLog {
  /** Index of the entry before the oldest one held. */
  readonly baseIndex: number;
  /** Index of the newest entry. */
  readonly lastIndex: number;
  /** Term of the newest entry. */
  readonly lastTerm: number;
  /** Log time of the newest entry in milliseconds. */
  readonly lastLogTime: number;
  /** Index up to which entries are durable here. */
  readonly durableIndex: number;
  /** Index up to which entries are known to be committed. */
  readonly commitIndex: number;
  /** Index up to which the machine has applied entries. */
  readonly appliedIndex: number;
  /** Newest membership in the log, committed or not. */
  readonly membership: Membership;
  /** Index of the entry that set the newest membership. */
  readonly membershipIndex: number;
  /** Newest snapshot, if any. */
  readonly snapshot: Snapshot | undefined;
  /** Term of the entry at an index, if it is still held. */
  termAt(index: number): number | undefined;
  /** Entries from an index on, at most one batch; one at least, if it is held. */
  batchFrom(index: number): Entry[];
  /** Appends entries as leader; they become durable in groups. */
  append(entry: Omit<Entry, "index">): Entry;
  /** Takes entries from a leader; resolves once they are durable. */
  accept(entries: readonly Entry[]): Promise<void>;
  /** Marks entries up to an index as committed and applies them. */
  commitTo(index: number): void;
  /** Replaces everything up to the snapshot's index. */
  install(snapshot: Snapshot): Promise<void>;
  /** Resolves once all disk work so far has ended. */
  idle(): Promise<void>;
}

/** Size of entries after a snapshot at which the next one is due, in bytes. */
const MAX_REPLAY_BYTES = 96 * 1024;
/** Entries that a log keeps from before its snapshot. */
const KEPT_ENTRIES = 64;

/** The first entries that fit into a batch, one at least. */
function withinBytes(entries: Entry[]): Entry[] {
  let bytes = 0;
  const end = entries.findIndex((entry, index) => {
    bytes += entryBytes(entry);
    return index > 0 && bytes > MAX_BATCH_BYTES;
  });
  return end < 0 ? entries : entries.slice(0, end);
}

/** Creates a log from what was found on disk. */
export function createReplicaLog(options: ReplicaLogOptions): ReplicaLog {
  const { store, machine, recovered, snapshotEvery, listener } = options;
  const disk = createSerial();
  let snapshot = recovered.snapshot;
  let entries = recovered.entries;
  let durableIndex = lastIndex();
  let commitIndex = snapshot?.index ?? 0;
  let appliedIndex = commitIndex;
  let membership = NO_MEMBERS;
  let membershipIndex = 0;
  let flushing = false;
  let snapshotting = false;
  let broken = false;
  /** Size of the entries that a restart has to apply again, in bytes. */
  let replayBytes = recovered.entriesBytes;

  if (snapshot) {
    machine.restore(snapshot.state);
  } else {
    machine.reset();
  }
  refreshMembership();

  /** Index of the entry before the first one held. */
  function baseIndex(): number {
    return entries.length > 0 ? entries[0].index - 1 : snapshot?.index ?? 0;
  }

  function lastIndex(): number {
    return entries.at(-1)?.index ?? snapshot?.index ?? 0;
  }

  function entryAt(index: number): Entry | undefined {
    return entries[index - baseIndex() - 1];
  }

  function termAt(index: number): number | undefined {
    if (index === 0) {
      return 0;
    }
    return entryAt(index)?.term ??
      (index === snapshot?.index ? snapshot.term : undefined);
  }

  function membershipUpTo(index: number): [Membership, number] {
    for (let at = entries.length - 1; at >= 0; at--) {
      const entry = entries[at];
      if (entry.membership && entry.index <= index) {
        return [entry.membership, entry.index];
      }
    }
    return [snapshot?.membership ?? NO_MEMBERS, snapshot?.index ?? 0];
  }

  function refreshMembership(): void {
    [membership, membershipIndex] = membershipUpTo(lastIndex());
  }

  async function guarded(work: () => Promise<void>): Promise<void> {
    if (broken) {
      throw new StepError("log.write", "an earlier write failed");
    }
    try {
      await work();
    } catch (error) {
      broken = true;
      listener.failed(error);
      throw error;
    }
  }

  async function flushOnce(): Promise<void> {
    const pending = entries.slice(durableIndex - baseIndex());
    if (pending.length > 0) {
      replayBytes += await store.append(pending);
      durableIndex = pending.at(-1)!.index;
    }
  }

  async function flush(): Promise<void> {
    if (flushing) {
      return;
    }
    flushing = true;
    try {
      while (durableIndex < lastIndex()) {
        await disk.run(() => guarded(flushOnce));
        listener.durable();
      }
    } catch {
      // The listener was told by guarded().
    } finally {
      flushing = false;
    }
  }

  async function acceptNow(incoming: readonly Entry[]): Promise<void> {
    await flushOnce();
    const covered = snapshot?.index ?? 0;
    const relevant = incoming.filter((entry) => entry.index > covered);
    const known = relevant.findIndex((entry) =>
      termAt(entry.index) !== entry.term
    );
    if (known < 0) {
      return;
    }
    const fresh = relevant.slice(known);
    const first = fresh[0].index;
    if (first > lastIndex() + 1) {
      throw new StepError("log.accept", `entry ${first} leaves a gap`);
    }
    if (first <= commitIndex) {
      throw new StepError("log.accept", `entry ${first} is committed already`);
    }
    const conflict = first <= lastIndex();
    entries = [...entries.slice(0, first - baseIndex() - 1), ...fresh];
    if (conflict || fresh.some((entry) => entry.membership)) {
      refreshMembership();
    }
    if (conflict) {
      await store.rewrite(entries);
    } else {
      replayBytes += await store.append(fresh);
    }
    durableIndex = lastIndex();
  }

  function applyCommitted(): void {
    while (appliedIndex < commitIndex) {
      const entry = entryAt(appliedIndex + 1);
      if (!entry) {
        return;
      }
      appliedIndex = entry.index;
      const result = entry.command === undefined ? undefined : machine.apply({
        index: entry.index,
        logTime: entry.logTime,
        command: entry.command,
      });
      listener.applied(entry, result);
    }
    if (snapshotIsDue()) {
      void takeSnapshot();
    }
  }

  /**
   * A restart applies everything after the snapshot again before it can vouch
   * for anything, so that many entries or large ones are due for one. A large
   * state is not written for a few small entries.
   */
  function snapshotIsDue(): boolean {
    const applied = appliedIndex - (snapshot?.index ?? 0);
    const stateBytes = snapshot?.state.length ?? 0;
    return applied >= snapshotEvery ||
      (applied > 0 && replayBytes >= Math.max(MAX_REPLAY_BYTES, stateBytes));
  }

  async function takeSnapshot(): Promise<void> {
    if (snapshotting) {
      return;
    }
    snapshotting = true;
    const index = appliedIndex;
    const last = entryAt(index)!;
    const taken: Snapshot = {
      index,
      term: last.term,
      logTime: last.logTime,
      membership: membershipUpTo(index)[0],
      state: new Uint8Array(machine.snapshot()),
    };
    try {
      await disk.run(() =>
        guarded(async () => {
          await flushOnce();
          await store.saveSnapshot(taken);
          // Some entries stay for followers that are a little behind.
          const kept = Math.min(KEPT_ENTRIES, Math.floor(snapshotEvery / 2));
          const keepFrom = index - kept;
          entries = entries.filter((entry) => entry.index > keepFrom);
          snapshot = taken;
          replayBytes = 0;
          const written = lastIndex();
          await store.rewrite(entries);
          durableIndex = written;
        })
      );
    } catch {
      // The listener was told by guarded().
    } finally {
      snapshotting = false;
    }
  }

  return {
    get baseIndex() {
      return baseIndex();
    },
    get lastIndex() {
      return lastIndex();
    },
    get lastTerm() {
      return termAt(lastIndex()) ?? 0;
    },
    get lastLogTime() {
      return entries.at(-1)?.logTime ?? snapshot?.logTime ?? 0;
    },
    get durableIndex() {
      return durableIndex;
    },
    get commitIndex() {
      return commitIndex;
    },
    get appliedIndex() {
      return appliedIndex;
    },
    get membership() {
      return membership;
    },
    get membershipIndex() {
      return membershipIndex;
    },
    get snapshot() {
      return snapshot;
    },
    termAt,
    batchFrom(index) {
      const start = index - baseIndex() - 1;
      return withinBytes(entries.slice(start, start + MAX_BATCH_ENTRIES));
    },
    append(partial) {
      const entry: Entry = { ...partial, index: lastIndex() + 1 };
      entries.push(entry);
      if (entry.membership) {
        refreshMembership();
      }
      void flush();
      return entry;
    },
    accept: (incoming) => disk.run(() => guarded(() => acceptNow(incoming))),
    commitTo(index) {
      commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
      applyCommitted();
    },
    install: (incoming) =>
      disk.run(() =>
        guarded(async () => {
          if (incoming.index <= commitIndex) {
            return;
          }
          await flushOnce();
          await store.saveSnapshot(incoming);
          const continues = termAt(incoming.index) === incoming.term;
          entries = continues
            ? entries.filter((entry) => entry.index > incoming.index)
            : [];
          snapshot = incoming;
          replayBytes = 0;
          await store.rewrite(entries);
          durableIndex = lastIndex();
          commitIndex = incoming.index;
          appliedIndex = incoming.index;
          machine.restore(incoming.state);
          refreshMembership();
        })
      ),
    idle: () => disk.run(() => Promise.resolve()),
  };
}
