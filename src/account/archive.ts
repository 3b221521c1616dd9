/**
 * The durable account on a control VM: two segments, of which the older one is
 * dropped when the newer one is full. Events are written together, so that they
 * leave the disk to the replicated log.
 * @module
 */
import { Packr, unpackMultiple } from "msgpackr";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import { createSerial } from "../core/tasks.ts";
import type { Disk } from "../disk/disk.ts";
import { sleep, type Timer } from "../time/timer.ts";
import { type Event, matchesQuery, type Query } from "./events.ts";

const CURRENT = "account";
const PREVIOUS = "account.previous";
const MAX_RESULTS = 2_000;
/** Pause between two writes, in milliseconds. */
const PAUSE_MS = 500;
/** Events that wait for the next write at most. */
const MAX_WAITING = 4_000;

const packr = new Packr({ useRecords: false });

/** Events kept on disk within a budget. */
export interface Archive {
  /** Number of events dropped with old segments or failed writes. */
  readonly dropped: number;
  /** Adds events; they are durable once the promise resolves. */
  add(events: readonly Event[]): Promise<void>;
  /** Returns matching events, oldest first, at most 2,000. */
  find(query: Query): Promise<Event[]>;
}

/** Options of {@link createArchive}. */
export interface ArchiveOptions {
  disk: Disk;
  logger: Logger;
  timer: Timer;
  /** Size of one of the two segments in bytes. */
  segmentBytes: number;
}

function decodeEvents(bytes: Uint8Array | undefined): Event[] {
  if (!bytes || bytes.length === 0) {
    return [];
  }
  const events: Event[] = [];
  try {
    unpackMultiple(Buffer.from(bytes), (value) => {
      events.push(value as Event);
    });
  } catch {
    // The tail was torn by a crash; what stands before it is whole.
  }
  return events;
}

/** Creates an archive. */
export function createArchive(options: ArchiveOptions): Archive {
  const { disk, logger, timer, segmentBytes } = options;
  const serial = createSerial();
  let size: number | undefined;
  let dropped = 0;
  /** Events that the next write takes, and its end. */
  let waiting: Event[] = [];
  let nextWrite: Promise<void> | undefined;
  let writtenAt = -Infinity;

  async function rotate(): Promise<void> {
    const previous = await disk.read(PREVIOUS);
    dropped += decodeEvents(previous).length;
    const current = await disk.read(CURRENT) ?? new Uint8Array();
    await disk.replace(PREVIOUS, current);
    await disk.remove(CURRENT);
    size = 0;
  }

  async function addNow(events: readonly Event[]): Promise<void> {
    size ??= (await disk.read(CURRENT))?.length ?? 0;
    if (size > segmentBytes) {
      await rotate();
    }
    const bytes = Buffer.concat(events.map((event) => packr.pack(event)));
    await disk.append(CURRENT, bytes);
    await disk.sync(CURRENT);
    size += bytes.length;
  }

  /** Writes what has gathered, at most so often that the log has its disk. */
  async function write(): Promise<void> {
    await sleep(timer, Math.max(0, writtenAt + PAUSE_MS - timer.now()));
    const events = waiting;
    waiting = [];
    nextWrite = undefined;
    writtenAt = timer.now();
    try {
      await serial.run(() => addNow(events));
    } catch (error) {
      dropped += events.length;
      logger.error("account.write_failed", {
        events: events.length,
        ...errorFields(error),
      });
    }
  }

  return {
    get dropped() {
      return dropped;
    },
    async add(events) {
      const room = Math.max(0, MAX_WAITING - waiting.length);
      dropped += Math.max(0, events.length - room);
      waiting.push(...events.slice(0, room));
      if (waiting.length > 0) {
        nextWrite ??= write();
        await nextWrite;
      }
    },
    async find(query) {
      const stored = await serial.run(async () => [
        ...decodeEvents(await disk.read(PREVIOUS)),
        ...decodeEvents(await disk.read(CURRENT)),
      ]);
      return [...stored, ...waiting]
        .filter((event) => matchesQuery(event, query))
        .slice(-MAX_RESULTS);
    },
  };
}
