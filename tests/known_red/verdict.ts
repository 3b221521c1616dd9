/**
 * Decides whether a run of the tests passes: each test that KNOWN-RED.txt lists
 * must fail, and every other one pass.
 */
import type { KnownRed } from "./entries.ts";
import { isComplete, readTap, type TestResult } from "./tap_report.ts";

/** What a run came to. */
export interface Verdict {
  /** Number of assertions that held, outside the listed tests. */
  passed: number;
  /** One line for each thing that fails the run. */
  failures: string[];
  /** One line for each entry that the run passed over. */
  passedOver: string[];
}

/** A finished run of tap. */
export interface TapRun {
  /** What tap wrote with --output-file. */
  tap: string;
  exitCode: number | null;
  /** False if only some of the test files were asked for. */
  whole: boolean;
}

/** Results that tap itself gives to a test whose process ended within it. */
const ENDED_EARLY = ["test unfinished", "timeout!"];
/** Exit status of a test file that an uncaught error ended (crash_status.ts). */
export const CRASH_STATUS = 70;
/** Exit statuses of a test file whose tests all ran: passed, failed. */
const RAN = [0, 1];

/** Returns the verdict on a run; anything that isn't understood fails it. */
export function decide(run: TapRun, entries: KnownRed[]): Verdict {
  const verdict: Verdict = { passed: 0, failures: [], passedOver: [] };
  const level = readTap(run.tap);
  const files = new Map(
    level.results.map((file) => [sourceOf(file.name), file]),
  );
  const listed = new Set<TestResult>();
  for (const entry of entries) {
    judgeEntry(entry, { run, files, listed, verdict });
  }
  if (!isComplete(level) || files.size === 0) {
    verdict.failures.push("tap ended before all test files had run");
  }
  for (const file of level.results) judgeFile(file, listed, verdict);
  const explained = verdict.failures.length + verdict.passedOver.length > 0;
  if (run.exitCode !== 0 && !explained) {
    verdict.failures.push(`tap ended with ${run.exitCode}, but no test failed`);
  }
  return verdict;
}

/** Source file of a test file: `dist/a_test.js` comes from `a_test.ts`. */
function sourceOf(file: string): string {
  return file.replace(/^dist\/(.*)\.js$/, "$1.ts");
}

interface Judging {
  run: TapRun;
  files: Map<string, TestResult>;
  listed: Set<TestResult>;
  verdict: Verdict;
}

/** Checks an entry against what ran, and lists its test if that one failed. */
function judgeEntry(entry: KnownRed, judging: Judging): void {
  const { run, files, listed, verdict } = judging;
  const path = entry.test ?? entry.flaky;
  if (path === undefined) return;
  const [file] = path.split(" > ", 1);
  if (!run.whole && !files.has(file)) return;
  const found = testsNamed(path.slice(file.length + 3), files.get(file));
  const fail = (what: string): number =>
    verdict.failures.push(`${path}: ${what}`);
  if (found.length === 0) {
    fail("listed as known red, but there is no such test");
  } else if (found.length > 1) {
    fail("listed as known red, but several tests have this name");
  } else if (found[0].skipped) fail("listed as known red, but was skipped");
  else if (entry.flaky !== undefined) return;
  else if (hasTests(found[0])) {
    fail("listed as known red, but holds other tests: list these");
  } else if (found[0].ok) {
    fail("listed as known red, but passes: take the entry out");
  } else {
    listed.add(found[0]);
    verdict.passedOver.push(path);
  }
}

/** Tests below a result whose names, joined from the outermost, are `path`. */
function testsNamed(path: string, within?: TestResult): TestResult[] {
  const found: TestResult[] = [];
  for (const result of within?.results ?? []) {
    if (!result.results && !result.skipped) continue;
    if (result.name === path) found.push(result);
    if (path.startsWith(`${result.name} > `)) {
      found.push(...testsNamed(path.slice(result.name.length + 3), result));
    }
  }
  return found;
}

function hasTests(test: TestResult): boolean {
  return (test.results ?? []).some((result) => result.results);
}

/** Adds what a test file's results say to the verdict. */
function judgeFile(
  result: TestResult,
  listed: Set<TestResult>,
  verdict: Verdict,
): void {
  const file = sourceOf(result.name);
  if (result.expired) {
    // The runner reports this in place of a file, whose results may be lost.
    verdict.failures.push(`${sourceOf(result.expired)}: timed out`);
    return;
  }
  const fail = (what: string): number =>
    verdict.failures.push(`${file}: ${what}`);
  const before = verdict.failures.length;
  const seen = walk(result, file, { listed, verdict, inListed: false });
  if (seen.assertions === 0) fail("ran no test");
  if (result.signal) fail(`ended by ${result.signal}`);
  if (!RAN.includes(result.exitCode ?? 0)) fail("crashed");
  const explained = verdict.failures.length > before || seen.listed > 0;
  if (!result.ok && !explained) fail("failed outside its tests");
}

interface Walk {
  listed: Set<TestResult>;
  verdict: Verdict;
  /** True within a listed test, whose failing assertions are passed over. */
  inListed: boolean;
}

/** Counts of what a test held, itself and all below it. */
interface Seen {
  assertions: number;
  listed: number;
}

function walk(result: TestResult, path: string, how: Walk): Seen {
  const { failures } = how.verdict;
  const seen: Seen = { assertions: 0, listed: 0 };
  if (result.skipped) return seen;
  if (!result.complete) failures.push(`${path}: not all of it ran`);
  if (!result.results) {
    const endedEarly = ENDED_EARLY.includes(result.name);
    if (!result.ok && (endedEarly || !how.inListed)) failures.push(path);
    if (result.ok && !how.inListed) how.verdict.passed += 1;
    return { assertions: 1, listed: 0 };
  }
  const isListed = how.listed.has(result);
  const before = failures.length;
  for (const one of result.results) {
    const below = walk(one, `${path} > ${one.name}`, {
      ...how,
      inListed: how.inListed || isListed,
    });
    seen.assertions += below.assertions;
    seen.listed += below.listed;
  }
  if (isListed) seen.listed += 1;
  const explained = failures.length > before || seen.listed > 0 ||
    how.inListed;
  const isFile = !path.includes(" > ");
  if (!result.ok && !explained && !isFile) failures.push(path);
  return seen;
}
