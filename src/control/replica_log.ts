/**
 * A replica's log in memory and its copy on disk. Entries that a leader appends
 * are synced in groups; committed entries are applied to the state machine.
 * @module
 */
import { StepError } from "../core/errors.ts";
import { createSerialQueue } from "../core/tasks.ts";
import {
  type Entry,
  entryBytes,
  type LogStore,
  type Membership,
  NO_MEMBERS,
  type Recovered,
  type Snapshot,
} from "./log_store.ts";
import { decodeCommand } from "./log_command.ts";
import type { StateMachine } from "./machine.ts";

const MAX_BATCH_ENTRIES = 256;
/** Size limit of a batch. The RPC layer accepts messages of twice this size. */
const MAX_BATCH_BYTES = 8 * 1024 * 1024;

/** Receives changes of the log. */
export interface LogListener {
  /** Called when more entries are durable on this replica. */
  durable(): void;
  /** Called when an entry was applied, with the state machine's result. */
  applied(entry: Entry, result: unknown): void;
  /** Called when a write failed; no later write is attempted. */
  failed(error: unknown): void;
}

/** Options of {@link createReplicaLog}. */
export interface ReplicaLogOptions {
  /** Stores the log and snapshots on disk. */
  store: LogStore;
  /** State machine that committed entries are applied to. */
  machine: StateMachine;
  /** State that was read from disk. */
  recovered: Recovered;
  /** Number of entries applied between two snapshots. */
  snapshotEvery: number;
  /** Receives changes. */
  listener: LogListener;
}

/** A replica's log. */
export interface ReplicaLog {
  /** Index of the entry before the oldest one in memory. */
  readonly baseIndex: number;
  /** Index of the newest entry. */
  readonly lastIndex: number;
  /** Term of the newest entry. */
  readonly lastTerm: number;
  /** Log time of the newest entry in milliseconds. */
  readonly lastLogTime: number;
  /** Index up to which entries are durable on this replica. */
  readonly durableIndex: number;
  /** Index up to which entries are known to be committed. */
  readonly commitIndex: number;
  /** Index up to which entries are applied to the state machine. */
  readonly appliedIndex: number;
  /** Newest membership in the log, committed or not. */
  readonly membership: Membership;
  /** Index of the entry that set the newest membership. */
  readonly membershipIndex: number;
  /** Newest snapshot, if any. */
  readonly snapshot: Snapshot | undefined;
  /** Term of the entry at an index, if the log still knows it. */
  termAt(index: number): number | undefined;
  /**
   * Entries from an index on, at most one batch. Returns at least one entry if
   * the log holds the index.
   */
  batchFrom(index: number): Entry[];
  /** Appends an entry as leader; it becomes durable with the next group. */
  append(entry: Omit<Entry, "index">): Entry;
  /** Stores entries from a leader; resolves once they are durable. */
  accept(entries: readonly Entry[]): Promise<void>;
  /**
   * Decodes up to `limit` commands of entries that are not applied yet, so that
   * applying them takes less time; returns whether there are more.
   */
  prepare(limit: number): boolean;
  /** Marks entries up to an index as committed and applies them. */
  commitTo(index: number): void;
  /**
   * Replaces all entries up to the snapshot's index, and the state, by a
   * snapshot.
   */
  install(snapshot: Snapshot): Promise<void>;
  /** Resolves once all earlier disk operations have ended. */
  idle(): Promise<void>;
}

/**
 * Size of entries after a snapshot at which the next snapshot is taken, in
 * bytes.
 */
const MAX_REPLAY_BYTES = 96 * 1024;
/**
 * Maximum number of entries that stay in the log after a snapshot covers them.
 */
const RETAINED_ENTRIES = 64;

/** The longest prefix of entries that fits into a batch, at least one entry. */
function limitToBatchBytes(entries: Entry[]): Entry[] {
  let bytes = 0;
  const end = entries.findIndex((entry, index) => {
    bytes += entryBytes(entry);
    return index > 0 && bytes > MAX_BATCH_BYTES;
  });
  return end < 0 ? entries : entries.slice(0, end);
}

/** Creates a log from the state that was read from disk. */
export function createReplicaLog(options: ReplicaLogOptions): ReplicaLog {
  const { store, machine, recovered, snapshotEvery, listener } = options;
  const disk = createSerialQueue();
  let snapshot = recovered.snapshot;
  let entries = recovered.entries;
  let durableIndex = lastIndex();
  let commitIndex = snapshot?.index ?? 0;
  let appliedIndex = commitIndex;
  let membership = NO_MEMBERS;
  let membershipIndex = 0;
  let flushing = false;
  let snapshotting = false;
  let writeFailed = false;
  /** Size of the entries that a restart would have to apply again, in bytes. */
  let replayBytes = recovered.entriesBytes;
  const prepared = new WeakMap<Entry, unknown>();
  let preparedIndex = 0;

  if (snapshot) {
    machine.restore(snapshot.state);
  } else {
    machine.reset();
  }
  refreshMembership();

  /** Index of the entry before the oldest one in memory. */
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

  async function failOnError(work: () => Promise<void>): Promise<void> {
    if (writeFailed) {
      throw new StepError("log.write", "an earlier write failed");
    }
    try {
      await work();
    } catch (error) {
      writeFailed = true;
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
        await disk.run(() => failOnError(flushOnce));
        listener.durable();
      }
    } catch {
      // failOnError() has notified the listener.
    } finally {
      flushing = false;
    }
  }

  async function acceptNow(incoming: readonly Entry[]): Promise<void> {
    await flushOnce();
    const covered = snapshot?.index ?? 0;
    const uncovered = incoming.filter((entry) => entry.index > covered);
    const firstNew = uncovered.findIndex((entry) =>
      termAt(entry.index) !== entry.term
    );
    if (firstNew < 0) {
      return;
    }
    const newEntries = uncovered.slice(firstNew);
    const first = newEntries[0].index;
    if (first > lastIndex() + 1) {
      throw new StepError("log.accept", `entry ${first} leaves a gap`);
    }
    if (first <= commitIndex) {
      throw new StepError("log.accept", `entry ${first} is committed already`);
    }
    const conflict = first <= lastIndex();
    entries = [...entries.slice(0, first - baseIndex() - 1), ...newEntries];
    if (conflict || newEntries.some((entry) => entry.membership)) {
      refreshMembership();
    }
    if (conflict) {
      await store.rewrite(entries);
    } else {
      replayBytes += await store.append(newEntries);
    }
    durableIndex = lastIndex();
  }

  function commandOf(entry: Entry): unknown {
    const command = prepared.get(entry) ?? decodeCommand(entry.command);
    prepared.delete(entry);
    return command;
  }

  function prepareEntry(entry: Entry): void {
    try {
      const command = decodeCommand(entry.command);
      prepared.set(entry, machine.prepare?.(command) ?? command);
    } catch {
      // Applying the entry reports the defect, if it is ever committed.
    }
  }

  function prepare(limit: number): boolean {
    const from = Math.max(preparedIndex, appliedIndex);
    preparedIndex = Math.min(from + limit, lastIndex());
    for (let index = from + 1; index <= preparedIndex; index++) {
      const entry = entryAt(index);
      if (entry?.command !== undefined) {
        prepareEntry(entry);
      }
    }
    return preparedIndex < lastIndex();
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
        command: commandOf(entry),
      });
      listener.applied(entry, result);
    }
    if (snapshotIsDue()) {
      void takeSnapshot();
    }
  }

  /**
   * Whether a snapshot should be taken. A restarting replica has to apply all
   * entries after the snapshot again before its state is current, so both many
   * entries and large ones require a snapshot. A large state is not written
   * again for a few small entries.
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
        failOnError(async () => {
          await flushOnce();
          await store.saveSnapshot(taken);
          // Followers that are slightly behind receive these entries instead of
          // a snapshot.
          const retained = Math.min(
            RETAINED_ENTRIES,
            Math.floor(snapshotEvery / 2),
          );
          const dropUpTo = index - retained;
          entries = entries.filter((entry) => entry.index > dropUpTo);
          snapshot = taken;
          replayBytes = 0;
          const writtenIndex = lastIndex();
          await store.rewrite(entries);
          durableIndex = writtenIndex;
        })
      );
    } catch {
      // failOnError() has notified the listener.
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
      return limitToBatchBytes(entries.slice(start, start + MAX_BATCH_ENTRIES));
    },
    prepare,
    append(partial) {
      const entry: Entry = { ...partial, index: lastIndex() + 1 };
      entries.push(entry);
      if (entry.membership) {
        refreshMembership();
      }
      void flush();
      return entry;
    },
    accept: (incoming) =>
      disk.run(() => failOnError(() => acceptNow(incoming))),
    commitTo(index) {
      commitIndex = Math.max(commitIndex, Math.min(index, lastIndex()));
      applyCommitted();
    },
    install: (incoming) =>
      disk.run(() =>
        failOnError(async () => {
          if (incoming.index <= commitIndex) {
            return;
          }
          await flushOnce();
          await store.saveSnapshot(incoming);
          const extendsSnapshot = termAt(incoming.index) === incoming.term;
          entries = extendsSnapshot
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
