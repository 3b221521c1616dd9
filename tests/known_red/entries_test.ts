import { test } from "tap";
import { readEntries } from "./entries.ts";

const FIELDS = "  command: npm test\n  seen: 1 of 2\n  issue: 11\n";

test("entries with a test, a flaky test and none are read", (t) => {
  const entries = readEntries(
    `# A comment.\n\nFirst\n  test: a_test.ts > outer >\n    inner\n${FIELDS}\n` +
      `Second\n  flaky: b_test.ts > other\n${FIELDS}\n\nThird\n${FIELDS}`,
  );
  const same = { command: "npm test", seen: "1 of 2", issue: "11" };
  t.same(entries, [
    {
      title: "First",
      test: "a_test.ts > outer > inner",
      flaky: undefined,
      ...same,
    },
    { title: "Second", test: undefined, flaky: "b_test.ts > other", ...same },
    { title: "Third", test: undefined, flaky: undefined, ...same },
  ]);
  t.same(readEntries("# Nothing is known.\n"), []);
  t.end();
});

test("what can't be read as an entry is an error", (t) => {
  const cases: [string, string][] = [
    [`First\n  tset: a_test.ts > one\n${FIELDS}`, "no field tset"],
    [`First\n  issue: 3\n${FIELDS}`, "issue stands twice"],
    ["First\n  command: x\n  seen: y\n", "issue is missing"],
    [`First\n  test: a > b\n  flaky: a > b\n${FIELDS}`, "either test or flaky"],
    [`First\nsecond\n${FIELDS}`, "cannot read"],
    [`First\n    too far in\n${FIELDS}`, "cannot read"],
    [FIELDS, "no title"],
  ];
  for (const [text, message] of cases) {
    t.throws(() => readEntries(text), { message: new RegExp(message) });
  }
  t.end();
});
