/**
 * Back-pressure on a writable stream.
 * @module
 */
import type { Writable } from "node:stream";

/** Resolves once a stream has emptied its buffer or is closed. */
export function waitForDrain(stream: Writable): Promise<void> {
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
