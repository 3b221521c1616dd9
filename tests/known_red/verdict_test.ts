import { test } from "tap";
import type { KnownRed } from "./entries.ts";
import { CRASH_STATUS, decide, type Verdict } from "./verdict.ts";

const WIDTH = 4;

/** A test and its results, as tap writes them one level further in. */
function subtest(name: string, results: string[], ok?: boolean): string[] {
  const count = results.filter((line) => /^(not )?ok/.test(line)).length;
  const holds = ok ?? !results.some((line) => line.startsWith("not ok"));
  return [
    `# Subtest: ${name}`,
    ...[...results, `1..${count}`].map((line) => " ".repeat(WIDTH) + line),
    `${holds ? "ok" : "not ok"} 1 - ${name} # time=1.5ms`,
  ];
}

/** A test file that ran; its process ended with `status` or by `signal`. */
function file(
  name: string,
  results: string[],
  { status = 0, signal = "null" } = {},
): string[] {
  const lines = subtest(`dist/${name}_test.js`, results, status === 0);
  return [
    ...lines,
    "  ---",
    "  source: |",
    "    not ok 9 - part of the details",
    `  exitCode: ${status}`,
    `  signal: ${signal}`,
    "  ...",
    "",
  ];
}

const good = subtest("good", ["ok 1 - should be equal", "ok 2 - so"]);
const bad = subtest("bad", ["ok 1 - so", "not ok 2 - should be equal"]);
const nested = subtest("outer: a \\# of \\\\ things", [...bad, ...good]);

function red(test: string): KnownRed {
  return { title: test, test, command: "npm test", seen: "it", issue: "1" };
}

interface Options {
  listed?: string[];
  exitCode?: number;
  whole?: boolean;
}

function run(files: string[][], options: Options = {}): Verdict {
  const { listed = [], exitCode = 1, whole = true } = options;
  const plan = `1..${files.length}`;
  const tap = ["TAP version 14", plan, ...files.flat()].join("\n");
  return decide({ tap, exitCode, whole }, listed.map(red));
}

test("a run whose tests all pass, passes", (t) => {
  const verdict = run([file("a", good), file("b", good)], { exitCode: 0 });
  t.same(verdict, { passed: 4, failures: [], passedOver: [] });
  t.end();
});

test("a listed test that fails is passed over", (t) => {
  const files = [file("a", [...good, ...bad], { status: 1 })];
  const verdict = run(files, { listed: ["a_test.ts > bad"] });
  t.same(verdict, {
    passed: 2,
    failures: [],
    passedOver: ["a_test.ts > bad"],
  });
  t.end();
});

test("a test that fails and isn't listed fails the run", (t) => {
  const verdict = run([file("a", [...good, ...bad], { status: 1 })]);
  t.same(verdict.failures, ["a_test.ts > bad > should be equal"]);
  t.end();
});

test("an entry passes over its own test only", (t) => {
  const other = subtest("other", ["not ok 1 - should be equal"]);
  const files = [
    file("a", [...bad, ...other], { status: 1 }),
    file("b", bad, { status: 1 }),
  ];
  const verdict = run(files, { listed: ["a_test.ts > bad"] });
  t.same(verdict.failures, [
    "a_test.ts > other > should be equal",
    "b_test.ts > bad > should be equal",
  ]);
  t.end();
});

test("a test within another is named with it", (t) => {
  const path = "a_test.ts > outer: a # of \\ things";
  const files = [file("a", nested, { status: 1 })];
  const listed = [`${path} > bad`];
  t.same(run(files, { listed }), {
    passed: 2,
    failures: [],
    passedOver: listed,
  });
  t.same(run(files, { listed: ["a_test.ts > bad"] }).failures, [
    "a_test.ts > bad: listed as known red, but there is no such test",
    `${path} > bad > should be equal`,
  ]);
  t.same(run(files, { listed: [path] }).failures, [
    `${path}: listed as known red, but holds other tests: list these`,
    `${path} > bad > should be equal`,
  ]);
  t.end();
});

test("a failure of the outer test itself isn't passed over", (t) => {
  const outer = subtest("outer", [...bad, "not ok 2 - too many"]);
  const verdict = run([file("a", outer, { status: 1 })], {
    listed: ["a_test.ts > outer > bad"],
  });
  t.same(verdict.failures, ["a_test.ts > outer > too many"]);
  t.end();
});

test("an entry whose test passes fails the run", (t) => {
  const verdict = run([file("a", good)], {
    listed: ["a_test.ts > good"],
    exitCode: 0,
  });
  t.same(verdict.failures, [
    "a_test.ts > good: listed as known red, but passes: take the entry out",
  ]);
  t.end();
});

test("an entry without its test or file fails the run", (t) => {
  const listed = ["a_test.ts > gone", "b_test.ts > bad", "a_test.ts"];
  const none = "listed as known red, but there is no such test";
  const verdict = run([file("a", good)], { listed, exitCode: 0 });
  t.same(verdict.failures, listed.map((path) => `${path}: ${none}`));
  t.end();
});

test("an entry whose test was skipped, or shares its name, fails", (t) => {
  const skipped = "ok 1 - late # SKIP";
  const files = [file("a", [...good, skipped, ...bad, ...bad], { status: 1 })];
  const listed = ["a_test.ts > late", "a_test.ts > bad"];
  t.same(run(files, { listed }).failures.slice(0, 2), [
    "a_test.ts > late: listed as known red, but was skipped",
    "a_test.ts > bad: listed as known red, but several tests have this name",
  ]);
  t.end();
});

test("a flaky entry must name a test, which counts like any other", (t) => {
  const flaky = (path: string): KnownRed => ({
    ...red(path),
    test: undefined,
    flaky: path,
  });
  const tap = ["1..1", ...file("a", [...good, ...bad], { status: 1 })];
  const run = { tap: tap.join("\n"), exitCode: 1, whole: true };
  const entries = ["good", "bad", "gone"].map((name) =>
    flaky(`a_test.ts > ${name}`)
  );
  t.same(decide(run, entries), {
    passed: 3,
    passedOver: [],
    failures: [
      "a_test.ts > gone: listed as known red, but there is no such test",
      "a_test.ts > bad > should be equal",
    ],
  });
  t.end();
});

test("a crashed test file fails, though a test of it is listed", (t) => {
  const listed = ["a_test.ts > bad"];
  const failures = (files: string[][]): string[] =>
    run(files, { listed }).failures;
  t.same(failures([file("a", bad, { status: CRASH_STATUS })]), [
    "a_test.ts: crashed",
  ]);
  t.same(failures([file("a", bad, { status: 1, signal: "SIGALRM" })]), [
    "a_test.ts: ended by SIGALRM",
  ]);
  for (const end of ["test unfinished", "timeout!"]) {
    const results = subtest("bad", [`not ok 1 - ${end}`]);
    t.same(failures([file("a", results, { status: 1 })]), [
      `a_test.ts > bad > ${end}`,
    ]);
  }
  const cut = file("a", [...bad, ...good], { status: 1 })
    .filter((line) => !/^ {4}(ok 1 - good|1\.\.)/.test(line));
  t.same(failures([cut]), ["a_test.ts: not all of it ran"]);
  t.end();
});

test("files that the runner's limit ended are named, and all of them", (t) => {
  const expired = (name: string): string[] => [
    "not ok 2 - timeout!",
    "  ---",
    `  expired: dist/${name}_test.js`,
    "  ...",
  ];
  const files = [file("a", good), expired("b"), expired("c")];
  t.same(run(files).failures, [
    "b_test.ts: timed out",
    "c_test.ts: timed out",
  ]);
  t.end();
});

test("a test file that ran no test fails", (t) => {
  const skipped = ["# Subtest: dist/a_test.js", "    1..0 # no tests found"];
  const none = [...skipped, "ok 1 - dist/a_test.js # SKIP no tests found"];
  t.same(run([none], { exitCode: 0 }).failures, ["a_test.ts: ran no test"]);
  const broken = [...skipped, "not ok 1 - dist/a_test.js # time=3ms"];
  t.same(run([broken]).failures, ["a_test.ts: ran no test"]);
  t.same(run([file("a", good, { status: 1 })]).failures, [
    "a_test.ts: failed outside its tests",
  ]);
  t.end();
});

test("a run that tap didn't end well fails", (t) => {
  t.same(run([], { exitCode: 0 }).failures, [
    "tap ended before all test files had run",
  ]);
  t.same(run([file("a", good)]).failures, [
    "tap ended with 1, but no test failed",
  ]);
  const tap = ["1..2", ...file("a", good)].join("\n");
  t.same(decide({ tap, exitCode: 0, whole: true }, []).failures, [
    "tap ended before all test files had run",
  ]);
  t.end();
});

test("entries of files that weren't asked for are left out", (t) => {
  const verdict = run([file("a", good)], {
    listed: ["b_test.ts > bad"],
    exitCode: 0,
    whole: false,
  });
  t.same(verdict.failures, []);
  t.end();
});
