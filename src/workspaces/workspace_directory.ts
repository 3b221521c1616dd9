/**
 * The workspaces that a node has received, as whole tables or as changes of a
 * table that it has. Each request with a key looks its workspace up here, so
 * both lookups are a single access to a map, with 20,000 workspaces too.
 * @module
 */
import { createKeyRevisions } from "../control/key_revisions.ts";
import {
  countPage,
  type LoadedPages,
  type WorkspaceChanges,
  type WorkspaceEntry,
  type WorkspaceParts,
  type WorkspaceTable,
} from "./workspace_view.ts";

/** A workspace without its keys. */
export type WorkspaceLimits = Readonly<Omit<WorkspaceEntry, "digests">>;

/** The workspaces that a node has received. */
export interface WorkspaceDirectory {
  /**
   * Revision of the workspaces. It is 0 until control has had a configuration
   * with workspaces; removing all of them later does not reset it.
   */
  readonly revision: number;
  /** Number of workspaces. */
  readonly size: number;
  /** Pages of a newer table that were received, while others are missing. */
  readonly pages: LoadedPages | undefined;
  /**
   * Replaces the workspaces by a newer table, or takes a page of one; returns
   * whether the workspaces were replaced.
   */
  replace(table: WorkspaceTable): boolean;
  /**
   * Applies changes if they are newer than the workspaces and begin at a revision
   * that the node has; returns whether they were applied.
   */
  change(changes: WorkspaceChanges): boolean;
  /**
   * Returns what a reader lacks that has the workspaces as of `revision`: changes
   * if these are known, else the whole table. A table of several pages is only
   * sent by control, whose replicas all have it in the same order.
   */
  newerThan(revision: number): WorkspaceParts;
  /** Returns a workspace by its name. */
  workspace(name: string): WorkspaceLimits | undefined;
  /** Returns the workspace to which the key with a digest belongs. */
  findOwner(digest: string): WorkspaceLimits | undefined;
}

/** Creates a directory without workspaces. */
export function createWorkspaceDirectory(): WorkspaceDirectory {
  const byName = new Map<string, WorkspaceEntry>();
  const byDigest = new Map<string, WorkspaceEntry>();
  const keys = createKeyRevisions({ floor: 0, set: [], removed: [] });
  let revision = 0;
  let pages: { revision: number; entries: WorkspaceEntry[] } | undefined;

  /** Takes a page; returns all entries of the table with its last page. */
  function collect(table: WorkspaceTable): WorkspaceEntry[] | undefined {
    const { revision: next, offset = 0, workspaces, more } = table;
    const isNext = pages?.revision === next && pages.entries.length === offset;
    const restarts = offset === 0 && next >= (pages?.revision ?? 0);
    if (!isNext && !restarts) {
      return undefined;
    }
    const entries = [...(isNext ? pages!.entries : []), ...workspaces];
    pages = more ? { revision: next, entries } : undefined;
    return more ? undefined : entries;
  }

  function drop(name: string): void {
    for (const digest of byName.get(name)?.digests ?? []) {
      // The same changes may have given the key to another workspace.
      if (byDigest.get(digest)?.name === name) {
        byDigest.delete(digest);
      }
    }
    byName.delete(name);
  }

  function add(entry: WorkspaceEntry): void {
    byName.set(entry.name, entry);
    entry.digests.forEach((digest) => byDigest.set(digest, entry));
  }

  return {
    get revision() {
      return revision;
    },
    get size() {
      return byName.size;
    },
    get pages() {
      return pages &&
        { revision: pages.revision, count: pages.entries.length };
    },
    replace(table) {
      const entries = table.revision > revision ? collect(table) : undefined;
      if (!entries) {
        return false;
      }
      revision = table.revision;
      byName.clear();
      byDigest.clear();
      entries.forEach(add);
      keys.restart(revision);
      return true;
    },
    change({ since, revision: next, set, removed }) {
      const missesEarlier = since > revision || revision === 0;
      if (missesEarlier || next <= revision) {
        return false;
      }
      revision = next;
      if (pages && pages.revision <= next) {
        pages = undefined;
      }
      for (const entry of set) {
        drop(entry.name);
        add(entry);
        keys.set(entry.name, next);
      }
      for (const name of removed) {
        drop(name);
        keys.remove(name, next);
      }
      return true;
    },
    newerThan(known) {
      if (revision <= known) {
        return {};
      }
      const changed = known > 0 ? keys.changedSince(known) : undefined;
      const entries = changed?.set.map((name) => byName.get(name)!) ??
        [...byName.values()];
      if (!countPage(entries.map(({ digests }) => digests.length)).complete) {
        return {};
      }
      return changed
        ? {
          workspaceChanges: {
            since: known,
            revision,
            set: entries,
            removed: changed.removed,
          },
        }
        : { workspaceTable: { revision, workspaces: entries } };
    },
    workspace: (name) => byName.get(name),
    findOwner: (digest) => byDigest.get(digest),
  };
}
