/**
 * Stores a replica on disk: its identity, its term and vote, its log and its
 * snapshot, each with a checksum.
 *
 * A record is a 32-bit length, a 32-bit checksum and a MessagePack value.
 * @module
 */
import { Packr } from "msgpackr";
import { z } from "zod";
import { CorruptionError, StepError } from "../core/errors.ts";
import { hash32 } from "../core/hash.ts";
import type { Disk } from "../disk/disk.ts";

const packr = new Packr({ useRecords: false });

const HEADER_BYTES = 8;
const CHECKSUM_OFFSET = 4;
/**
 * Largest record of the log. A longer length field counts as damaged, and no
 * checksum is computed for it.
 */
const MAX_RECORD_BYTES = 64 * 1024 * 1024;

const LOG = "log";
const SNAPSHOT = "snapshot";
const VOTE = "vote";
const IDENTITY = "identity";

/** A replica that takes part in the cluster. */
export const replicaInfoSchema = z.object({
  identity: z.string(),
  vm: z.string(),
  address: z.string(),
});
/** A replica that takes part in the cluster. */
export type ReplicaInfo = z.infer<typeof replicaInfoSchema>;

/** The replicas that vote, and the learners, which only receive the log. */
export const membershipSchema = z.object({
  voters: z.array(replicaInfoSchema),
  learners: z.array(replicaInfoSchema),
});
/** The replicas that vote, and the learners, which only receive the log. */
export type Membership = z.infer<typeof membershipSchema>;

/** Stands for the membership of a replica that knows none yet. */
export const NO_MEMBERS: Membership = { voters: [], learners: [] };

/** One entry of the log. */
export const entrySchema = z.object({
  index: z.number(),
  term: z.number(),
  logTime: z.number(),
  membership: membershipSchema.optional(),
  command: z.unknown().optional(),
});
/**
 * One entry of the log. An entry without command and membership changes
 * nothing.
 */
export type Entry = z.infer<typeof entrySchema>;

const voteSchema = z.object({ term: z.number(), votedFor: z.string() });
/** The newest term that a replica has seen, and its vote in that term. */
export type Vote = z.infer<typeof voteSchema>;

const identitySchema = z.object({
  identity: z.string(),
  cluster: z.string(),
});
/** The identity of a replica, which lasts as long as its disk. */
export type Identity = z.infer<typeof identitySchema>;

const snapshotSchema = z.object({
  index: z.number(),
  term: z.number(),
  logTime: z.number(),
  membership: membershipSchema,
  state: z.instanceof(Uint8Array),
});
/** The state up to an index, which replaces the entries up to that index. */
export type Snapshot = z.infer<typeof snapshotSchema>;

/** State that was read from disk. */
export interface Recovered {
  /** Identity, if the disk has one. */
  identity: Identity | undefined;
  /** Vote; term 0 if there is none. */
  vote: Vote;
  /** Snapshot, if there is one. */
  snapshot: Snapshot | undefined;
  /** Entries after the snapshot. */
  entries: Entry[];
  /** Size of these entries in bytes. */
  entriesBytes: number;
  /**
   * Number of bytes removed from an incomplete record at the end of the log.
   */
  tornBytes: number;
}

/** Stores a replica on disk. */
export interface LogStore {
  /** Reads everything. Rejects with `CorruptionError` if a file is damaged. */
  recover(): Promise<Recovered>;
  /** Appends entries and syncs them; returns their size in bytes. */
  append(entries: readonly Entry[]): Promise<number>;
  /** Replaces the whole log; used after a snapshot or a conflict. */
  rewrite(entries: readonly Entry[]): Promise<void>;
  /** Stores a snapshot durably. */
  saveSnapshot(snapshot: Snapshot): Promise<void>;
  /** Stores the vote durably. */
  saveVote(vote: Vote): Promise<void>;
  /** Stores the identity durably. */
  saveIdentity(identity: Identity): Promise<void>;
  /** Removes all files, the identity last. */
  reset(): Promise<void>;
}

/** Encodes a value as a checksummed record. */
export function encodeRecord(value: unknown): Buffer {
  const payload = packr.pack(value);
  const record = Buffer.allocUnsafe(HEADER_BYTES + payload.length);
  record.writeUInt32BE(payload.length, 0);
  record.writeUInt32BE(hash32(payload), CHECKSUM_OFFSET);
  payload.copy(record, HEADER_BYTES);
  return record;
}

const entrySizes = new WeakMap<Entry, number>();

/** Size of an entry's record in bytes. */
export function entryBytes(entry: Entry): number {
  const size = entrySizes.get(entry) ?? encodeRecord(entry).length;
  entrySizes.set(entry, size);
  return size;
}

/** Encodes an entry; throws if the record would be too large to be read. */
function encodeEntry(entry: Entry): Buffer {
  const record = encodeRecord(entry);
  if (record.length - HEADER_BYTES > MAX_RECORD_BYTES) {
    throw new StepError(
      "log.write",
      `entry ${entry.index} has ${record.length} bytes`,
    );
  }
  entrySizes.set(entry, record.length);
  return record;
}

interface RecordRead {
  value: unknown;
  end: number;
}

/**
 * Reads the record at an offset; returns `undefined` if it is incomplete or
 * damaged.
 */
function readRecord(
  bytes: Buffer,
  offset: number,
  maxBytes = MAX_RECORD_BYTES,
): RecordRead | undefined {
  if (bytes.length - offset < HEADER_BYTES) {
    return undefined;
  }
  const length = bytes.readUInt32BE(offset);
  const start = offset + HEADER_BYTES;
  const end = start + length;
  if (length === 0 || length > maxBytes || end > bytes.length) {
    return undefined;
  }
  const payload = bytes.subarray(start, end);
  if (hash32(payload) !== bytes.readUInt32BE(offset + CHECKSUM_OFFSET)) {
    return undefined;
  }
  return { value: packr.unpack(payload), end };
}

/** Whether a valid log entry starts anywhere after an offset. */
function hasEntryAfter(bytes: Buffer, offset: number): boolean {
  for (let start = offset + 1; start < bytes.length; start++) {
    const read = readRecord(bytes, start);
    if (read && entrySchema.safeParse(read.value).success) {
      return true;
    }
  }
  return false;
}

interface ReadLog {
  entries: Entry[];
  size: number;
  /** Size of the entries after the snapshot, in bytes. */
  uncoveredBytes: number;
}

function readLog(bytes: Buffer, covered: number): ReadLog {
  const entries: Entry[] = [];
  let offset = 0;
  let uncoveredBytes = 0;
  while (offset < bytes.length) {
    const read = readRecord(bytes, offset);
    if (!read) {
      if (hasEntryAfter(bytes, offset)) {
        throw new CorruptionError(
          "log.recover",
          `damaged record at byte ${offset} with whole records after it`,
        );
      }
      break;
    }
    const entry = entrySchema.parse(read.value);
    entries.push(entry);
    uncoveredBytes += entry.index > covered ? read.end - offset : 0;
    offset = read.end;
  }
  return { entries, size: offset, uncoveredBytes };
}

/**
 * Checks that the entries follow each other and the snapshot. Entries that the
 * snapshot covers may end before it: the process or the disk failed after the
 * snapshot of a leader was stored and before the log was replaced.
 */
function checkOrder(entries: Entry[], snapshotIndex: number): void {
  let expected = Math.min(entries[0]?.index ?? 0, snapshotIndex + 1);
  for (const { index } of entries) {
    const followsSnapshot = index === snapshotIndex + 1 && expected < index;
    if (index !== expected && !followsSnapshot) {
      throw new CorruptionError(
        "log.recover",
        `entry ${index} stands where ${expected} belongs`,
      );
    }
    expected = index + 1;
  }
}

/** Creates a store on a disk. */
export function createLogStore(disk: Disk): LogStore {
  async function readRecordFile<T>(
    name: string,
    schema: z.ZodType<T>,
  ): Promise<T | undefined> {
    const bytes = await disk.read(name);
    if (!bytes) {
      return undefined;
    }
    // A file that holds a single record may be larger than a record of the log.
    const read = readRecord(Buffer.from(bytes), 0, bytes.length);
    if (!read) {
      throw new CorruptionError("log.recover", `file ${name} is damaged`);
    }
    return schema.parse(read.value);
  }

  return {
    async recover() {
      const identity = await readRecordFile(IDENTITY, identitySchema);
      const vote = await readRecordFile(VOTE, voteSchema);
      const snapshot = await readRecordFile(SNAPSHOT, snapshotSchema);
      const bytes = Buffer.from(await disk.read(LOG) ?? new Uint8Array());
      const covered = snapshot?.index ?? 0;
      const log = readLog(bytes, covered);
      const tornBytes = bytes.length - log.size;
      if (tornBytes > 0) {
        await disk.truncate(LOG, log.size);
      }
      checkOrder(log.entries, covered);
      return {
        identity,
        vote: vote ?? { term: 0, votedFor: "" },
        snapshot,
        entries: log.entries.filter((entry) => entry.index > covered),
        entriesBytes: log.uncoveredBytes,
        tornBytes,
      };
    },
    async append(entries) {
      const bytes = Buffer.concat(entries.map(encodeEntry));
      await disk.append(LOG, bytes);
      await disk.sync(LOG);
      return bytes.length;
    },
    rewrite: (entries) =>
      disk.replace(LOG, Buffer.concat(entries.map(encodeEntry))),
    saveSnapshot: (snapshot) => disk.replace(SNAPSHOT, encodeRecord(snapshot)),
    saveVote: (vote) => disk.replace(VOTE, encodeRecord(vote)),
    saveIdentity: (identity) => disk.replace(IDENTITY, encodeRecord(identity)),
    async reset() {
      for (const name of [LOG, SNAPSHOT, VOTE, IDENTITY]) {
        await disk.remove(name);
      }
    },
  };
}
