/**
 * Loaded into a node (`--import`): counts how often functions run, the
 * runtime's own included, and tells it by module at each SIGUSR2, the first of
 * which begins the counting.
 * @module
 */
import { readFileSync } from "node:fs";
import { Session } from "node:inspector";
import { type Steps, STEPS_PREFIX } from "./steps.ts";

/** What the loader of the bundle puts before its source. */
const WRAPPER = "(function (exports, require, module) {";
const MODULE_MARK = /^\/\/ ((?:src|platform|node_modules)\/\S+)$/gm;

/** Finds the module of each place in a bundle by the marks of its bundler. */
function modulesOf(file: string): (offset: number) => string {
  const text = readFileSync(new URL(file, "file://"), "utf8");
  const marks = [...text.matchAll(MODULE_MARK)]
    .map(({ index, 1: name }) => ({ index, name }));
  return (offset) =>
    marks.findLast(({ index }) => index <= offset - WRAPPER.length)?.name ??
      "bundle";
}

/** Name under which a module's functions are counted. */
function groupOf(name: string): string {
  const [folder, library, scoped] = name.split("/");
  if (folder !== "node_modules") {
    return name;
  }
  return library.startsWith("@") ? `${library}/${scoped}` : library;
}

const session = new Session();
let counting = false;
let round = 0;

function tell(): void {
  session.post("Profiler.takePreciseCoverage", (error, { result }) => {
    if (error) {
      throw error;
    }
    const counts: Steps["counts"] = {};
    for (const { url, functions } of result) {
      if (url === import.meta.url) {
        continue;
      }
      const moduleOf = url.endsWith("bundle.cjs") ? modulesOf(url) : () => url;
      for (const { ranges: [{ startOffset, count }] } of functions) {
        const group = count > 0 ? groupOf(moduleOf(startOffset)) : "";
        counts[group] = (counts[group] ?? 0) + count;
      }
    }
    const steps: Steps = { round: ++round, counts };
    process.stderr.write(`${STEPS_PREFIX}${JSON.stringify(steps)}\n`);
  });
}

session.connect();
session.post("Profiler.enable");
process.on("SIGUSR2", () => {
  if (counting) {
    tell();
    return;
  }
  counting = true;
  session.post("Profiler.startPreciseCoverage", { callCount: true });
});
