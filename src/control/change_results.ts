/**
 * Results of operators' changes by change id, which make a retry idempotent: it
 * gets the result of the first submission.
 * @module
 */
import { hashText } from "../core/hash.ts";
import { hashAction } from "./amendments.ts";
import type { Change, ChangeResult } from "./commands.ts";

/** Number of results kept for retries with the same change id. */
export const MAX_CHANGE_RESULTS = 10_000;

/** A result, with a hash that identifies the change. */
export interface ChangeRecord {
  /** Hash of the operator, the action, `against`, `numbering` and `force`. */
  content: string;
  result: ChangeResult;
}

/** Results of changes, oldest first, at most {@link MAX_CHANGE_RESULTS}. */
export interface ChangeResults {
  /** Returns the result of a change, if it is still kept. */
  get(changeId: string): ChangeResult | undefined;
  /**
   * Decides a change whose id is new, and returns the kept result of one that
   * was decided before. An id that was used for another change is refused.
   */
  decideOnce(
    change: Change,
    options: { version: number; decide: () => ChangeResult },
  ): ChangeResult;
  /** Returns all results, for a snapshot. */
  entries(): [string, ChangeRecord][];
}

function hashContent(change: Change): string {
  return hashText(JSON.stringify([
    change.operator,
    change.against,
    change.numbering,
    change.force,
    hashAction(change.action),
  ]));
}

/** Creates results from those of a snapshot. */
export function createChangeResults(
  stored: [string, ChangeRecord][],
): ChangeResults {
  const results = new Map(stored);

  function trim(): void {
    for (const changeId of results.keys()) {
      if (results.size <= MAX_CHANGE_RESULTS) {
        return;
      }
      results.delete(changeId);
    }
  }

  return {
    get: (changeId) => results.get(changeId)?.result,
    decideOnce(change, { version, decide }) {
      const { changeId } = change;
      const content = hashContent(change);
      const recorded = results.get(changeId);
      if (recorded) {
        return recorded.content === content ? recorded.result : {
          kind: "refused",
          version,
          reason: "change_id_reused",
          detail: `change id ${changeId} was used for another change`,
        };
      }
      const result = decide();
      results.set(changeId, { content, result });
      trim();
      return result;
    },
    entries: () => [...results],
  };
}
