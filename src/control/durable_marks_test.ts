import { test } from "tap";
import { createDurableMarks } from "./durable_marks.ts";

test("a disk that shows less than was durable once is rolled back", (t) => {
  const marks = createDurableMarks();
  marks.take([{ identity: "a", index: 7, term: 2 }]);
  t.ok(marks.isRolledBack({ identity: "a", lastIndex: 6, term: 2 }));
  t.ok(marks.isRolledBack({ identity: "a", lastIndex: 7, term: 1 }));
  t.notOk(marks.isRolledBack({ identity: "a", lastIndex: 7, term: 2 }));
  t.notOk(marks.isRolledBack({ identity: "b", lastIndex: 0, term: 0 }));
  t.end();
});

test("an index never falls, and a term stays until another is known", (t) => {
  const marks = createDurableMarks();
  marks.raise("a", 7, 2);
  marks.raise("a", 5, undefined);
  t.same(marks.all(), [{ identity: "a", index: 7, term: 2 }]);
  marks.raise("a", 8, 3);
  t.same(marks.all(), [{ identity: "a", index: 8, term: 3 }]);
  t.end();
});
