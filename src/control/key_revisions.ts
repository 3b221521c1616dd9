/**
 * Revisions of the keys of a table: which keys were set or removed after a given
 * revision, so that a reader that has the table as of then receives only these.
 * @module
 */

/** Number of removals kept. A reader that lacks older ones needs the table. */
const MAX_REMOVED_KEYS = 4_096;

/** Revisions of keys as stored in a snapshot. */
export interface StoredKeyRevisions {
  /** Revision up to which removals are not known. */
  floor: number;
  set: [key: string, revision: number][];
  removed: [key: string, revision: number][];
}

/** Keys that were set or removed after a revision. */
export interface KeyChanges {
  set: string[];
  removed: string[];
}

/** Revisions of the keys of one table. */
export interface KeyRevisions {
  set(key: string, revision: number): void;
  remove(key: string, revision: number): void;
  /** Forgets all keys: the table is replaced as of a revision. */
  restart(revision: number): void;
  /**
   * Returns the keys that changed after a revision, or `undefined` if that is
   * not known any more and a reader needs the whole table.
   */
  changedSince(revision: number): KeyChanges | undefined;
  stored(): StoredKeyRevisions;
}

function keysAfter(
  revisions: ReadonlyMap<string, number>,
  revision: number,
): string[] {
  return [...revisions].filter(([, at]) => at > revision).map(([key]) => key);
}

/** Creates revisions of keys from those of a snapshot. */
export function createKeyRevisions(stored: StoredKeyRevisions): KeyRevisions {
  const set = new Map(stored.set);
  /** Removed keys, the earliest removal first. */
  const removed = new Map(stored.removed);
  let { floor } = stored;

  function trimRemoved(): void {
    for (const [key, revision] of removed) {
      if (removed.size <= MAX_REMOVED_KEYS) {
        return;
      }
      removed.delete(key);
      floor = Math.max(floor, revision);
    }
  }

  return {
    set(key, revision) {
      removed.delete(key);
      set.set(key, revision);
    },
    remove(key, revision) {
      set.delete(key);
      removed.delete(key);
      removed.set(key, revision);
      trimRemoved();
    },
    restart(revision) {
      set.clear();
      removed.clear();
      floor = revision;
    },
    changedSince(revision) {
      return revision < floor ? undefined : {
        set: keysAfter(set, revision),
        removed: keysAfter(removed, revision),
      };
    },
    stored: () => ({ floor, set: [...set], removed: [...removed] }),
  };
}
