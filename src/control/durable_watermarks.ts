/**
 * The newest index and term that each replica is known to have made durable.
 * Leaders send these watermarks to all replicas, so that a replica whose disk
 * was rolled back learns of it from its peers.
 * @module
 */
import type { Watermark } from "./methods.ts";

/** Watermarks of what each replica has made durable, by identity. */
export interface DurableWatermarks {
  /** All watermarks, as a leader sends them. */
  all(): Watermark[];
  /** Sets watermarks that a leader sent. */
  update(marks: readonly Watermark[]): void;
  /** Raises a voter's index. The term stays as it is if none is given. */
  raise(identity: string, index: number, term: number | undefined): void;
  /** Whether a replica's disk holds less than the replica once made durable. */
  isRolledBack(reported: {
    identity: string;
    lastIndex: number;
    term: number;
  }): boolean;
}

/** Creates an empty set of watermarks. */
export function createDurableWatermarks(): DurableWatermarks {
  const marks = new Map<string, Watermark>();

  return {
    all: () => [...marks.values()],
    update: (incoming) =>
      incoming.forEach((mark) => marks.set(mark.identity, mark)),
    raise(identity, index, term) {
      const earlier = marks.get(identity);
      marks.set(identity, {
        identity,
        index: Math.max(index, earlier?.index ?? 0),
        term: term ?? earlier?.term ?? 0,
      });
    },
    isRolledBack({ identity, lastIndex, term }) {
      const mark = marks.get(identity);
      return mark !== undefined &&
        (lastIndex < mark.index || term < mark.term);
    },
  };
}
