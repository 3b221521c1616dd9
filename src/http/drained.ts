/**
 * Waits for the other end of a stream to take what was written.
 * @module
 */
import type { Writable } from "node:stream";

/** Resolves once a stream takes more, or is closed. */
export function drained(stream: Writable): Promise<void> {
  return new Promise((resolve) => {
    function settle(): void {
      stream.off("drain", settle);
      stream.off("close", settle);
      resolve();
    }
    stream.on("drain", settle);
    stream.on("close", settle);
  });
}
