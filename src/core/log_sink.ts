/**
 * Writes log lines without waiting for the reader of the output. When too many
 * bytes are pending, lines are dropped, and their number is logged in a line of
 * its own.
 * @module
 */
import { write as writeFile } from "node:fs";

/** Accepts log lines without blocking on a slow reader. */
export interface LogSink {
  /** Queues a line, or drops it while the queue is full. */
  write(line: string): void;
  /** Resolves once all queued lines are written, or after `timeoutMs`. */
  flush(timeoutMs: number): Promise<void>;
}

/** Options of {@link createLogSink}. */
export interface LogSinkOptions {
  /** Writes bytes; settles once the output has accepted them or failed. */
  write: (bytes: Buffer) => Promise<void>;
  /** Capacity of the queue; default 256 KiB. */
  capacityBytes?: number;
}

const DEFAULT_CAPACITY_BYTES = 256 * 1024;
const LINE_END_BYTES = 1;
const STANDARD_OUTPUT = 1;
/** Pause before an output that took nothing is written to again. */
const FULL_OUTPUT_PAUSE_MS = 20;

/** Creates a sink that writes with `options.write`. */
export function createLogSink(options: LogSinkOptions): LogSink {
  const { capacityBytes = DEFAULT_CAPACITY_BYTES } = options;
  let pending: string[] = [];
  let pendingBytes = 0;
  let dropped = 0;
  let writing: Promise<void> | undefined;

  function takeBatch(): Buffer {
    const lines = pending;
    if (dropped > 0) {
      lines.push(`level=warn event=log.dropped lines=${dropped}`);
    }
    pending = [];
    pendingBytes = 0;
    dropped = 0;
    return Buffer.from(lines.join("\n") + "\n");
  }

  async function writePending(): Promise<void> {
    while (pending.length > 0) {
      try {
        await options.write(takeBatch());
      } catch {
        // Without an output there is nowhere to report the failure.
        pending = [];
        pendingBytes = 0;
      }
    }
    writing = undefined;
  }

  return {
    write(line) {
      const bytes = Buffer.byteLength(line) + LINE_END_BYTES;
      if (pendingBytes + bytes > capacityBytes) {
        dropped++;
        return;
      }
      pending.push(line);
      pendingBytes += bytes;
      // Lines of the same turn of the event loop go into a single write.
      writing ??= Promise.resolve().then(writePending);
    },
    async flush(timeoutMs) {
      let timeout: NodeJS.Timeout | undefined;
      const expired = new Promise<void>((resolve) => {
        timeout = setTimeout(resolve, timeoutMs);
      });
      await Promise.race([writing, expired]);
      clearTimeout(timeout);
    },
  };
}

/**
 * Writes to a file descriptor on a thread of Node's thread pool; resolves with the
 * number of bytes that were taken, 0 if the output is full. A pipe blocks no more
 * once any part of the process has made it a stream.
 */
function writeSome(descriptor: number, bytes: Buffer): Promise<number> {
  return new Promise((resolve, reject) => {
    writeFile(descriptor, bytes, (error, written) => {
      if (error && error.code !== "EAGAIN") {
        reject(error);
      } else {
        resolve(error ? 0 : written);
      }
    });
  });
}

/** Writes all bytes; pauses while the output takes none. */
async function writeAll(descriptor: number, bytes: Buffer): Promise<void> {
  let rest = bytes;
  while (rest.length > 0) {
    const written = await writeSome(descriptor, rest);
    rest = rest.subarray(written);
    if (written === 0) {
      await new Promise((resolve) => setTimeout(resolve, FULL_OUTPUT_PAUSE_MS));
    }
  }
}

/** Creates a sink that writes to standard output. */
export function createStandardOutputSink(): LogSink {
  return createLogSink({ write: (bytes) => writeAll(STANDARD_OUTPUT, bytes) });
}
