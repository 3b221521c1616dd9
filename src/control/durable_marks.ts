/**
 * What each replica is known to have made durable. Leaders pass it on, so that
 * a replica whose disk was rolled back finds a peer that tells it so.
 * @module
 */
import type { Mark } from "./methods.ts";

/** What each replica is known to have made durable, by identity. */
export interface DurableMarks {
  /** All marks, as a leader sends them. */
  all(): Mark[];
  /** Takes marks over as a leader sent them. */
  take(marks: readonly Mark[]): void;
  /** Notes a voter's index; without a term, the earlier one stays. */
  raise(identity: string, index: number, term: number | undefined): void;
  /** Whether a replica shows less than it had made durable once. */
  isRolledBack(shown: {
    identity: string;
    lastIndex: number;
    term: number;
  }): boolean;
}

/** Creates marks of no replica. */
export function createDurableMarks(): DurableMarks {
  const marks = new Map<string, Mark>();

  return {
    all: () => [...marks.values()],
    take: (incoming) =>
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
