/**
 * Assembles a snapshot from the chunks that a leader sends.
 * @module
 */

/** One chunk of a snapshot. */
export interface SnapshotChunk {
  /** Index of the last entry that the snapshot covers. */
  index: number;
  /** Position of the chunk within the snapshot, in bytes. */
  offset: number;
  bytes: Uint8Array;
  /** Whether it is the last chunk. */
  last: boolean;
}

/** Result of adding a chunk. */
export interface ChunkResult {
  /** Number of bytes held so far; the leader continues at this offset. */
  received: number;
  /** The complete snapshot, once its last chunk was added. */
  assembled: Uint8Array | undefined;
}

/** Assembles one snapshot at a time. */
export interface SnapshotAssembler {
  /**
   * Adds a chunk. A chunk at offset 0 starts a new snapshot; a chunk that does
   * not continue the current snapshot is dropped.
   */
  add(chunk: SnapshotChunk): ChunkResult;
}

/** Creates an assembler that holds no chunks. */
export function createSnapshotAssembler(): SnapshotAssembler {
  let index = -1;
  let held: Uint8Array[] = [];
  let size = 0;

  return {
    add(chunk) {
      if (chunk.offset === 0) {
        index = chunk.index;
        held = [];
        size = 0;
      }
      if (chunk.index !== index || chunk.offset !== size) {
        return {
          received: chunk.index === index ? size : 0,
          assembled: undefined,
        };
      }
      held.push(chunk.bytes);
      size += chunk.bytes.length;
      if (!chunk.last) {
        return { received: size, assembled: undefined };
      }
      const assembled = new Uint8Array(Buffer.concat(held));
      const received = size;
      index = -1;
      held = [];
      size = 0;
      return { received, assembled };
    },
  };
}
