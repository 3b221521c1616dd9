import fc from "fast-check";
import { test } from "tap";
import { createKeyRevisions } from "./key_revisions.ts";

const EMPTY = { floor: 0, set: [], removed: [] };

test("changes since any revision turn the table of then into the one of now", (t) => {
  const step = fc.record({
    key: fc.constantFrom("a", "b", "c", "d"),
    remove: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
    const keys = createKeyRevisions(EMPTY);
    const tables: Map<string, number>[] = [new Map()];
    steps.forEach(({ key, remove }, index) => {
      const revision = index + 1;
      const table = new Map(tables.at(-1));
      if (remove) {
        table.delete(key);
        keys.remove(key, revision);
      } else {
        table.set(key, revision);
        keys.set(key, revision);
      }
      tables.push(table);
    });
    const now = tables.at(-1)!;
    return tables.every((then, revision) => {
      const { set, removed } = keys.changedSince(revision)!;
      const result = new Map(then);
      set.forEach((key) => result.set(key, now.get(key)!));
      removed.forEach((key) => result.delete(key));
      return JSON.stringify([...result].sort()) ===
        JSON.stringify([...now].sort());
    });
  }));
  t.end();
});

test("a reader that lacks forgotten removals gets no changes", (t) => {
  const keys = createKeyRevisions(EMPTY);
  for (let revision = 1; revision <= 5_000; revision++) {
    keys.set(`k${revision}`, revision);
    keys.remove(`k${revision}`, revision);
  }
  t.equal(keys.changedSince(1), undefined);
  t.equal(keys.changedSince(4_999)?.removed.length, 1);
  t.same(createKeyRevisions(keys.stored()).stored(), keys.stored());
  t.end();
});
