/** Reads the results that tap writes (TAP version 14) into a tree of tests. */

/** One result: a test with results of its own, or a single assertion. */
export interface TestResult {
  name: string;
  ok: boolean;
  /** Marked as SKIP or TODO: it did not run. */
  skipped: boolean;
  /** Results within the test; absent for an assertion. */
  results?: TestResult[];
  /** False if there is no plan or the number of results differs from it. */
  complete: boolean;
  /** Signal that ended the process of a test file. */
  signal?: string;
  /** Exit status of the process of a test file. */
  exitCode?: number;
  /** What exceeded the runner's time limit: for a file, its name. */
  expired?: string;
}

/** Results at one level of indentation, up to the result of their test. */
interface Level {
  results: TestResult[];
  planned?: number;
}

const RESULT = /^(not )?ok\b(?: \d+)?(?: - (.*))?$/;
const PLAN = /^1\.\.(\d+)/;
const NOTE = /(?<!\\)\s*# (SKIP|TODO|time=)(.*)$/;
const FIELD = /^(signal|exitCode|expired): (.+)$/;
/** Spaces by which tap indents a test's results. */
const INDENT = 4;
/** Spaces by which tap indents the details of a result. */
const DETAIL_INDENT = 2;

/** Returns the results of the test files, in the order of the report. */
export function readTap(text: string): Level {
  const levels: Level[] = [{ results: [] }];
  let details: { end: string; of: TestResult } | undefined;
  let last: TestResult | undefined;
  for (const line of text.split("\n")) {
    if (details) {
      if (line === details.end) details = undefined;
      else readDetail(line, details.of);
      continue;
    }
    const body = line.trimStart();
    const indent = line.length - body.length;
    if (body === "---" && last) {
      details = { end: `${" ".repeat(indent)}...`, of: last };
      continue;
    }
    if (indent % INDENT !== 0) continue;
    const depth = indent / INDENT;
    const plan = PLAN.exec(body);
    if (plan) levelAt(levels, depth).planned = Number(plan[1]);
    const result = RESULT.exec(body);
    if (result) last = addResult(levels, depth, result);
  }
  return levels[0];
}

/** Returns whether the number of results is the level's plan. */
export function isComplete(level: Level): boolean {
  return level.planned === level.results.length;
}

function levelAt(levels: Level[], depth: number): Level {
  while (levels.length <= depth) levels.push({ results: [] });
  return levels[depth];
}

/** Adds a result, whose children are the results one level below it. */
function addResult(
  levels: Level[],
  depth: number,
  [, notOk, rest = ""]: RegExpExecArray,
): TestResult {
  const level = levelAt(levels, depth);
  const [children, ...deeperLevels] = levels.splice(depth + 1);
  const note = NOTE.exec(rest);
  const name = note ? rest.slice(0, note.index) : rest;
  const result: TestResult = {
    name: name.replace(/\\([\\#])/g, "$1"),
    ok: notOk === undefined,
    skipped: note?.[1] === "SKIP" || note?.[1] === "TODO",
    complete: children === undefined ||
      (isComplete(children) && deeperLevels.length === 0),
  };
  if (children) result.results = children.results;
  level.results.push(result);
  return result;
}

function readDetail(line: string, result: TestResult): void {
  const field = FIELD.exec(line.slice(DETAIL_INDENT));
  if (!field || field[2] === "null") return;
  if (field[1] === "signal") result.signal = field[2];
  else if (field[1] === "expired") result.expired = field[2];
  else result.exitCode = Number(field[2]);
}
