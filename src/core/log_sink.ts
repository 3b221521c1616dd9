/**
 * Writes lines to a stream that may have no reader, without ever waiting for
 * it: lines beyond a bound are dropped and counted in a line of their own.
 * @module
 */
import { write as writeFile } from "node:fs";

/** Takes lines that a slow reader must not hold up. */
export interface LogSink {
  /** Takes a line, or drops it while too much waits. */
  write(line: string): void;
  /** Resolves once everything is written, or a time in ms is up. */
  flush(timeoutMs: number): Promise<void>;
}

/** Options of {@link createLogSink}. */
export interface LogSinkOptions {
  /** Writes bytes; settles once the reader's side has taken them. */
  write: (bytes: Buffer) => Promise<void>;
  /** Bytes that may wait; default 256 KiB. */
  capacityBytes?: number;
}

const DEFAULT_CAPACITY_BYTES = 256 * 1024;
const LINE_END_BYTES = 1;
const STANDARD_OUTPUT = 1;

/** Creates a sink over a function that writes. */
export function createLogSink(options: LogSinkOptions): LogSink {
  const { capacityBytes = DEFAULT_CAPACITY_BYTES } = options;
  let waiting: string[] = [];
  let waitingBytes = 0;
  let dropped = 0;
  let writing: Promise<void> | undefined;

  function take(): Buffer {
    const lines = waiting;
    if (dropped > 0) {
      lines.push(`level=warn event=log.dropped lines=${dropped}`);
    }
    waiting = [];
    waitingBytes = 0;
    dropped = 0;
    return Buffer.from(lines.join("\n") + "\n");
  }

  async function drain(): Promise<void> {
    while (waiting.length > 0) {
      try {
        await options.write(take());
      } catch {
        // Nobody can be told that standard output is gone.
        waiting = [];
        waitingBytes = 0;
      }
    }
    writing = undefined;
  }

  return {
    write(line) {
      const bytes = Buffer.byteLength(line) + LINE_END_BYTES;
      if (waitingBytes + bytes > capacityBytes) {
        dropped++;
        return;
      }
      waiting.push(line);
      waitingBytes += bytes;
      // Lines of one turn of the event loop are written together.
      writing ??= Promise.resolve().then(drain);
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

/** Writes all bytes to a file descriptor from a thread that may block. */
function writeAll(descriptor: number, bytes: Buffer): Promise<void> {
  return new Promise((resolve, reject) => {
    writeFile(descriptor, bytes, (error, written) => {
      if (error && error.code !== "EAGAIN") {
        reject(error);
      } else if (!error && written === bytes.length) {
        resolve();
      } else {
        writeAll(descriptor, bytes.subarray(error ? 0 : written))
          .then(resolve, reject);
      }
    });
  });
}

/** Creates a sink to standard output. */
export function standardOutput(): LogSink {
  return createLogSink({ write: (bytes) => writeAll(STANDARD_OUTPUT, bytes) });
}
