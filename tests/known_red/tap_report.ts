/** Reads the results that tap writes (TAP version 14) into a tree of tests. */

/** One result: a test with results of its own, or a single assertion. */
export interface TestResult {
  name: string;
  ok: boolean;
  /** Marked as skipped or as to be written: it did not run. */
  skipped: boolean;
  /** What ran within it; absent for an assertion. */
  results?: TestResult[];
  /** False if fewer or more results came than its plan says, or no plan. */
  complete: boolean;
  /** Signal that ended the process of a test file. */
  signal?: string;
  /** Exit status of the process of a test file. */
  exitCode?: number;
  /** What ran longer than the runner lets it: for a file, its name. */
  expired?: string;
}

/** Results of one level of indentation, up to the one that closes it. */
interface Level {
  results: TestResult[];
  planned?: number;
}

const RESULT = /^(not )?ok\b(?: \d+)?(?: - (.*))?$/;
const PLAN = /^1\.\.(\d+)/;
const NOTE = /(?<!\\)\s*# (SKIP|TODO|time=)(.*)$/;
const FIELD = /^(signal|exitCode|expired): (.+)$/;
/** Spaces that tap sets a test's results in by. */
const INDENT = 4;
/** Spaces that the details of a result are set in by. */
const DETAILS_INDENT = 2;

/** Returns the test files' results, in the order of the text. */
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
    if (result) last = close(levels, depth, result);
  }
  return levels[0];
}

/** True if as many results came as the level's plan says. */
export function isComplete(level: Level): boolean {
  return level.planned === level.results.length;
}

function levelAt(levels: Level[], depth: number): Level {
  while (levels.length <= depth) levels.push({ results: [] });
  return levels[depth];
}

/** Adds a result, which takes the results a level below it as its own. */
function close(
  levels: Level[],
  depth: number,
  [, not, rest = ""]: RegExpExecArray,
): TestResult {
  const level = levelAt(levels, depth);
  const [own, ...unclosed] = levels.splice(depth + 1);
  const note = NOTE.exec(rest);
  const name = note ? rest.slice(0, note.index) : rest;
  const result: TestResult = {
    name: name.replace(/\\([\\#])/g, "$1"),
    ok: not === undefined,
    skipped: note?.[1] === "SKIP" || note?.[1] === "TODO",
    complete: own === undefined || (isComplete(own) && unclosed.length === 0),
  };
  if (own) result.results = own.results;
  level.results.push(result);
  return result;
}

function readDetail(line: string, result: TestResult): void {
  const field = FIELD.exec(line.slice(DETAILS_INDENT));
  if (!field || field[2] === "null") return;
  if (field[1] === "signal") result.signal = field[2];
  else if (field[1] === "expired") result.expired = field[2];
  else result.exitCode = Number(field[2]);
}
