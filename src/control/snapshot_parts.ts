/**
 * Puts a snapshot together from the parts that a leader sends one by one.
 * @module
 */

/** One part of a snapshot. */
export interface SnapshotPart {
  /** Index that the snapshot covers. */
  index: number;
  /** Place of the part within the snapshot, in bytes. */
  offset: number;
  bytes: Uint8Array;
  /** Whether it is the last part. */
  last: boolean;
}

/** What is known after a part has come. */
export interface PartResult {
  /** Bytes held so far, from which the leader goes on. */
  received: number;
  /** The whole snapshot, once its last part has come. */
  whole: Uint8Array | undefined;
}

/** Puts one snapshot at a time together. */
export interface SnapshotParts {
  /** Takes a part; one that does not continue what is held is dropped. */
  add(part: SnapshotPart): PartResult;
}

/** Creates a place for parts that holds none. */
export function createSnapshotParts(): SnapshotParts {
  let index = -1;
  let held: Uint8Array[] = [];
  let size = 0;

  return {
    add(part) {
      if (part.offset === 0) {
        index = part.index;
        held = [];
        size = 0;
      }
      if (part.index !== index || part.offset !== size) {
        return { received: part.index === index ? size : 0, whole: undefined };
      }
      held.push(part.bytes);
      size += part.bytes.length;
      if (!part.last) {
        return { received: size, whole: undefined };
      }
      const whole = new Uint8Array(Buffer.concat(held));
      const received = size;
      index = -1;
      held = [];
      size = 0;
      return { received, whole };
    },
  };
}
