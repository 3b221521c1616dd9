/**
 * The durable archive of events on a control VM. It has two segments; when the
 * newer one is full, the older one is dropped. Events are written in batches,
 * so that the replicated log on the same disk is not delayed.
 * @module
 */
import { Packr, unpackMultiple } from "msgpackr";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import { createSerialQueue } from "../core/tasks.ts";
import type { Disk } from "../disk/disk.ts";
import { sleep, type Timer } from "../time/timer.ts";
import { type Event, matchesQuery, type Query } from "./events.ts";

const CURRENT_FILE = "account";
const PREVIOUS_FILE = "account.previous";
const MAX_RESULTS = 2_000;
/** Bytes of a segment that are decoded at once; an event is far smaller. */
const SLICE_BYTES = 64 * 1024;
/** Shortest time between two writes. */
const WRITE_INTERVAL_MS = 500;
/** Events that may wait for the next write; further ones are dropped. */
const MAX_PENDING_EVENTS = 4_000;

const packr = new Packr({ useRecords: false });

/** Events stored on disk, up to a limit of bytes. */
export interface Archive {
  /**
   * Number of events dropped with old segments, by failed writes, or because
   * too many were pending.
   */
  readonly dropped: number;
  /** Adds events; resolves once they are durable, or counted as dropped. */
  add(events: readonly Event[]): Promise<void>;
  /** Returns the latest 2,000 matching events, oldest first. */
  find(query: Query): Promise<Event[]>;
}

/** Options of {@link createArchive}. */
export interface ArchiveOptions {
  disk: Disk;
  logger: Logger;
  timer: Timer;
  /** Size in bytes beyond which a segment is full. */
  segmentBytes: number;
}

/** Events at the start of a segment, and the number of bytes that they take. */
interface Segment {
  events: Event[];
  bytes: number;
}

function decodeSegment(content: Uint8Array | undefined): Segment {
  const segment: Segment = { events: [], bytes: 0 };
  if (!content || content.length === 0) {
    return segment;
  }
  try {
    unpackMultiple(Buffer.from(content), (value, _start, end) => {
      segment.events.push(value as Event);
      segment.bytes = end ?? 0;
    });
  } catch {
    // A crash or a full disk can leave an incomplete event at the end; those
    // before it are complete.
  }
  return segment;
}

/**
 * Returns the size of the whole events at the start of a segment. It lets other
 * tasks run in between, since a full segment takes longer than an election.
 */
async function findWholeSize(content: Uint8Array): Promise<number> {
  let size = 0;
  while (size < content.length) {
    const { bytes } = decodeSegment(content.subarray(size, size + SLICE_BYTES));
    size += bytes;
    if (bytes === 0 || size === content.length) {
      break;
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  return size;
}

/** Creates an archive. */
export function createArchive(options: ArchiveOptions): Archive {
  const { disk, logger, timer, segmentBytes } = options;
  const diskQueue = createSerialQueue();
  /** Size of the newer segment; `undefined` until it is known to end whole. */
  let size: number | undefined;
  let dropped = 0;
  /** Events for the next write; `nextWrite` resolves once they are written. */
  let pending: Event[] = [];
  let nextWrite: Promise<void> | undefined;
  let lastWriteAt = -Infinity;

  async function rotate(): Promise<void> {
    const previous = await disk.read(PREVIOUS_FILE);
    dropped += decodeSegment(previous).events.length;
    const current = await disk.read(CURRENT_FILE) ?? new Uint8Array();
    await disk.replace(PREVIOUS_FILE, current);
    await disk.remove(CURRENT_FILE);
    size = 0;
  }

  /** Removes an incomplete event at the end; returns the size of the rest. */
  async function cutIncompleteEvent(): Promise<number> {
    const content = await disk.read(CURRENT_FILE) ?? new Uint8Array();
    const bytes = await findWholeSize(content);
    if (bytes < content.length) {
      await disk.truncate(CURRENT_FILE, bytes);
    }
    return bytes;
  }

  async function append(events: readonly Event[]): Promise<void> {
    size ??= await cutIncompleteEvent();
    if (size > segmentBytes) {
      await rotate();
    }
    const bytes = Buffer.concat(events.map((event) => packr.pack(event)));
    const sizeAfter = size + bytes.length;
    // A write that fails may have written a part.
    size = undefined;
    await disk.append(CURRENT_FILE, bytes);
    await disk.sync(CURRENT_FILE);
    size = sizeAfter;
  }

  /** Writes the pending events, at most once per `WRITE_INTERVAL_MS`. */
  async function writePending(): Promise<void> {
    await sleep(
      timer,
      Math.max(0, lastWriteAt + WRITE_INTERVAL_MS - timer.now()),
    );
    const events = pending;
    pending = [];
    nextWrite = undefined;
    lastWriteAt = timer.now();
    try {
      await diskQueue.run(() => append(events));
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
      const freeCount = Math.max(0, MAX_PENDING_EVENTS - pending.length);
      dropped += Math.max(0, events.length - freeCount);
      pending.push(...events.slice(0, freeCount));
      if (pending.length > 0) {
        nextWrite ??= writePending();
        await nextWrite;
      }
    },
    async find(query) {
      const stored = await diskQueue.run(async () => [
        ...decodeSegment(await disk.read(PREVIOUS_FILE)).events,
        ...decodeSegment(await disk.read(CURRENT_FILE)).events,
      ]);
      return [...stored, ...pending]
        .filter((event) => matchesQuery(event, query))
        .slice(-MAX_RESULTS);
    },
  };
}
