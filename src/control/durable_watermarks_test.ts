import { test } from "tap";
import { createDurableWatermarks } from "./durable_watermarks.ts";

test("a disk that holds less than its watermark was rolled back", (t) => {
  const marks = createDurableWatermarks();
  marks.update([{ identity: "a", index: 7, term: 2 }]);
  t.ok(marks.isRolledBack({ identity: "a", lastIndex: 6, term: 2 }));
  t.ok(marks.isRolledBack({ identity: "a", lastIndex: 7, term: 1 }));
  t.notOk(marks.isRolledBack({ identity: "a", lastIndex: 7, term: 2 }));
  t.notOk(marks.isRolledBack({ identity: "b", lastIndex: 0, term: 0 }));
  t.end();
});

test("an index never decreases, and a term stays until a new one is given", (t) => {
  const marks = createDurableWatermarks();
  marks.raise("a", 7, 2);
  marks.raise("a", 5, undefined);
  t.same(marks.all(), [{ identity: "a", index: 7, term: 2 }]);
  marks.raise("a", 8, 3);
  t.same(marks.all(), [{ identity: "a", index: 8, term: 3 }]);
  t.end();
});
