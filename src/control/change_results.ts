/**
 * What became of operators' changes, by change id, so that a resend gets the
 * result of the first send.
 * @module
 */
import { hashText } from "../core/hash.ts";
import type { Change, ChangeResult } from "./commands.ts";

/** Results of changes that are kept for resends with the same change id. */
export const MAX_CHANGE_RESULTS = 10_000;

/** A result with what was asked for. */
export interface ChangeRecord {
  /** Hash of what was asked for. */
  content: string;
  result: ChangeResult;
}

/** Results of changes, oldest first, at most {@link MAX_CHANGE_RESULTS}. */
export interface ChangeResults {
  /** Returns what became of a change, if it is remembered. */
  get(changeId: string): ChangeResult | undefined;
  /** Decides a change that is new, and repeats the result of any other. */
  once(
    change: Change,
    options: { version: number; decide: () => ChangeResult },
  ): ChangeResult;
  /** Returns all results, for a snapshot. */
  entries(): [string, ChangeRecord][];
}

function contentOf(change: Change): string {
  return hashText(JSON.stringify([
    change.operator,
    change.against,
    change.numbering,
    change.force,
    change.action,
  ]));
}

/** Creates results from a snapshot's. */
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
    once(change, { version, decide }) {
      const { changeId } = change;
      const content = contentOf(change);
      const earlier = results.get(changeId);
      if (earlier) {
        return earlier.content === content ? earlier.result : {
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
