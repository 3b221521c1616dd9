import { mkdirSync, readdirSync, writeFileSync } from "node:fs";
import { test } from "tap";
import { removeStaleTests } from "./stale_tests.ts";

test("a compiled test whose source is gone is removed", (t) => {
  const folder = t.testdir({ dist: { a: {} }, a: {} });
  const built = `${folder}/dist`;
  mkdirSync(`${built}/a`, { recursive: true });
  writeFileSync(`${folder}/a/kept_test.ts`, "");
  for (const file of ["kept_test.js", "gone_test.js", "gone_test.js.map"]) {
    writeFileSync(`${built}/a/${file}`, "");
  }
  writeFileSync(`${built}/a/other.js`, "");
  const removed = removeStaleTests(built, folder);
  t.same(removed.sort(), ["a/gone_test.js", "a/gone_test.js.map"]);
  t.same(readdirSync(`${built}/a`).sort(), ["kept_test.js", "other.js"]);
  t.end();
});
