/**
 * Guards against a process that does not wait: a sleep whose signal is aborted
 * returns at once, so a loop around it has to end on that signal. A loop that does
 * not is a chain of settled promises, behind which nothing else is run.
 */
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { test } from "tap";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
const FOLDERS = ["src", "platform"];
const ABORTABLE_SLEEP = /\bsleep\([^;]*\bsignal\b[^;]*\);/g;
const LOOP_HEAD = /\b(?:while|for) \(/g;

/** Returns the text in the parentheses that open before `from`. */
function readCondition(text: string, from: number): string {
  let depth = 1;
  let end = from;
  while (depth > 0 && end < text.length) {
    depth += text[end] === "(" ? 1 : text[end] === ")" ? -1 : 0;
    end++;
  }
  return text.slice(from, end - 1);
}

/** Returns the position after the brace that closes the block at `from`. */
function findBlockEnd(text: string, from: number): number {
  let depth = 0;
  for (let at = text.indexOf("{", from); at < text.length; at++) {
    depth += text[at] === "{" ? 1 : text[at] === "}" ? -1 : 0;
    if (depth === 0) {
      return at;
    }
  }
  return text.length;
}

/** Returns the loops around abortable sleeps that do not look at a signal. */
function findEndlessLoops(text: string): string[] {
  const loops = [...text.matchAll(LOOP_HEAD)].map((match) => {
    const from = match.index + match[0].length;
    const condition = readCondition(text, from);
    const end = findBlockEnd(text, from + condition.length);
    return { condition, start: match.index, end };
  });
  return [...text.matchAll(ABORTABLE_SLEEP)].flatMap(({ index }) =>
    loops.filter(({ start, end }) => start < index && index < end).slice(-1)
      .filter(({ condition }) => !condition.includes("aborted"))
      .map(({ condition }) => condition)
  );
}

test("the check finds a loop that does not end on its signal", (t) => {
  const text = `while (timer.now() < deadline) {
    if (isDone()) { return; }
    await sleep(timer, 10, { signal });
  }`;
  t.same(findEndlessLoops(text), ["timer.now() < deadline"]);
  const sound = text.replace("while (", "while (!signal.aborted && ");
  t.same(findEndlessLoops(sound), []);
  t.end();
});

test("each loop around an abortable sleep ends on its signal", (t) => {
  for (const folder of FOLDERS) {
    const files = readdirSync(join(ROOT, folder), { recursive: true })
      .map(String).filter((file) => file.endsWith(".ts"));
    for (const file of files) {
      const path = join(folder, file);
      t.same(
        findEndlessLoops(readFileSync(join(ROOT, path), "utf8")),
        [],
        path,
      );
    }
  }
  t.end();
});
