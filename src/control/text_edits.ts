/**
 * Edits that turn one text into another, line by line. A configuration's source
 * has a line for each of its parts, so a small change has few edits.
 * @module
 */
import { z } from "zod";

/** Schema of {@link TextEdit}. */
export const textEditSchema = z.strictObject({
  /** Number of unchanged lines before the edit, after the previous edit. */
  keep: z.number().int().min(0),
  /** Number of lines that are removed. */
  remove: z.number().int().min(0),
  /** Lines that are inserted in their place. */
  insert: z.array(z.string()),
});

/** One edit: keeps lines, removes lines and inserts others. */
export type TextEdit = z.infer<typeof textEditSchema>;

/** Returns edits that turn `before` into `after`. */
export function findTextEdits(before: string, after: string): TextEdit[] {
  const [from, to] = [before.split("\n"), after.split("\n")];
  const [inFrom, inTo] = [new Set(from), new Set(to)];
  const edits: TextEdit[] = [];
  let [source, target, keptSince] = [0, 0, 0];
  while (source < from.length || target < to.length) {
    if (source < from.length && from[source] === to[target]) {
      source++;
      target++;
      continue;
    }
    const [editSource, editTarget] = [source, target];
    while (source < from.length && !inTo.has(from[source])) {
      source++;
    }
    while (target < to.length && !inFrom.has(to[target])) {
      target++;
    }
    if (source === editSource && target === editTarget) {
      // Lines have moved: the rest is replaced.
      [source, target] = [from.length, to.length];
    }
    edits.push({
      keep: editSource - keptSince,
      remove: source - editSource,
      insert: to.slice(editTarget, target),
    });
    keptSince = source;
  }
  return edits;
}

/** Applies edits to the text that they were made for. */
export function applyTextEdits(
  before: string,
  edits: readonly TextEdit[],
): string {
  const from = before.split("\n");
  const to: string[] = [];
  let at = 0;
  for (const { keep, remove, insert } of edits) {
    to.push(...from.slice(at, at + keep), ...insert);
    at += keep + remove;
  }
  return [...to, ...from.slice(at)].join("\n");
}
