import fc from "fast-check";
import { test } from "tap";
import { applyTextEdits, findTextEdits } from "./text_edits.ts";

const line = fc.constantFrom("a", "b", "c", "dd", "");
const text = fc.array(line, { maxLength: 12 }).map((lines) => lines.join("\n"));

test("edits turn one text into the other", (t) => {
  fc.assert(fc.property(text, text, (before, after) => {
    return applyTextEdits(before, findTextEdits(before, after)) === after;
  }));
  t.end();
});

test("a changed, an added and a removed line are single edits", (t) => {
  const edits = findTextEdits("v1\na\nb\nc\nd", "v2\na\nB\nc\ne\nd");
  t.same(edits, [
    { keep: 0, remove: 1, insert: ["v2"] },
    { keep: 1, remove: 1, insert: ["B"] },
    { keep: 1, remove: 0, insert: ["e"] },
  ]);
  t.same(findTextEdits("a\nb\nc", "a\nc"), [{
    keep: 1,
    remove: 1,
    insert: [],
  }]);
  t.same(findTextEdits("a\nb", "a\nb"), []);
  t.end();
});
