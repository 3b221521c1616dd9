/**
 * Collects the buffers of streamed bodies. They stand outside the heap, where the
 * runtime lets 64 MB of unused ones gather before it collects them; memory that
 * has once been taken for them is rarely given back.
 * @module
 */

/** Collects unused buffers. */
export interface BufferCollector {
  /** Notes that buffers of some bytes were created, which are used only shortly. */
  note(bytes: number): void;
}

/** Collects garbage, of the young generation or all of it. */
type CollectGarbage = (options: { type: "minor" | "major" }) => void;

/** Bytes of buffers after which the young generation is collected. */
export const MINOR_INTERVAL_BYTES = 2 * 1024 * 1024;
/**
 * Number of such collections after which all garbage is collected: buffers that
 * outlasted two of them are no longer in the young generation.
 */
export const MINORS_PER_MAJOR = 16;

/** Creates a collector; without a function to collect garbage it does nothing. */
export function createBufferCollector(
  collect: CollectGarbage | undefined,
): BufferCollector {
  let bytesSince = 0;
  let minors = 0;

  return {
    note(bytes) {
      bytesSince += bytes;
      if (!collect || bytesSince < MINOR_INTERVAL_BYTES) {
        return;
      }
      bytesSince = 0;
      minors++;
      collect({ type: minors % MINORS_PER_MAJOR === 0 ? "major" : "minor" });
    },
  };
}

/**
 * The collector of this process. It needs the runtime's flag `--expose-gc`, as
 * `deploy/system.toml` sets it.
 */
export const processBufferCollector = createBufferCollector(
  (globalThis as { gc?: CollectGarbage }).gc,
);
