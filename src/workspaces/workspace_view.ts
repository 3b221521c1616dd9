/**
 * The part of the view that carries workspaces: their ranks, limits and the
 * digests of their keys. It has its own revision, and a node that has an earlier
 * one receives only the workspaces that changed.
 * @module
 */
import { z } from "zod";

/** Schema of {@link WorkspaceEntry}. */
export const workspaceEntrySchema = z.object({
  name: z.string(),
  rank: z.number().optional(),
  ratePerS: z.number(),
  burst: z.number(),
  digests: z.array(z.string()),
});
/** A workspace as nodes hold it: digests take the place of its keys. */
export type WorkspaceEntry = z.infer<typeof workspaceEntrySchema>;

/** Schema of {@link WorkspaceTable}. */
export const workspaceTableSchema = z.object({
  revision: z.number(),
  /** Number of workspaces in the pages before this one; 0 by default. */
  offset: z.number().optional(),
  workspaces: z.array(workspaceEntrySchema),
  /** Whether further pages follow. */
  more: z.boolean().optional(),
});
/** All workspaces as of a revision, or a page of them. */
export type WorkspaceTable = z.infer<typeof workspaceTableSchema>;

/** Schema of {@link WorkspaceChanges}. */
export const workspaceChangesSchema = z.object({
  /** Revision of the table to which the changes apply. */
  since: z.number(),
  revision: z.number(),
  /** Workspaces that are new or changed, each with all its digests. */
  set: z.array(workspaceEntrySchema),
  /** Names of removed workspaces. */
  removed: z.array(z.string()),
});
/** Changes of the workspaces since a revision. */
export type WorkspaceChanges = z.infer<typeof workspaceChangesSchema>;

/** Schema of {@link LoadedPages}. */
export const loadedPagesSchema = z.object({
  revision: z.number(),
  /** Number of workspaces received. */
  count: z.number(),
});
/** The pages of a table that a node has received so far. */
export type LoadedPages = z.infer<typeof loadedPagesSchema>;

/** Largest number of digests and workspaces in one message. */
const MAX_PAGE_WEIGHT = 6_000;

/**
 * Returns how many of the first entries fit into one message, by the number of
 * digests of each, and whether these are all. The link of a node carries a page in
 * about 0.1 s; all 20,000 workspaces with 50,000 keys in one message would take
 * longer than a sync may.
 */
export function countPage(
  weights: Iterable<number>,
): { count: number; complete: boolean } {
  let [count, total] = [0, 0];
  for (const weight of weights) {
    total += weight + 1;
    if (count > 0 && total > MAX_PAGE_WEIGHT) {
      return { count, complete: false };
    }
    count++;
  }
  return { count, complete: true };
}

/** A table of workspaces or changes of it, never both. */
export interface WorkspaceParts {
  workspaceTable?: WorkspaceTable;
  workspaceChanges?: WorkspaceChanges;
}
