/**
 * Counts how often functions run in a node, including those of the Node.js
 * runtime, by module. A node loads this file with `--import`. The first SIGUSR2
 * starts the counting, and each further one writes a report to standard error.
 * @module
 */
import { readFileSync } from "node:fs";
import { Session } from "node:inspector";
import { COUNTS_PREFIX, type FunctionCounts } from "./function_counts.ts";

/** Text that the loader of the bundle puts before the bundle's source. */
const WRAPPER = "(function (exports, require, module) {";
/** Comment that the bundler writes before the code of each module. */
const MODULE_COMMENT = /^\/\/ ((?:src|platform|node_modules)\/\S+)$/gm;

/**
 * Returns a function that finds the module at an offset of a bundle's script.
 */
function createModuleLookup(file: string): (offset: number) => string {
  const text = readFileSync(new URL(file, "file://"), "utf8");
  const comments = [...text.matchAll(MODULE_COMMENT)]
    .map(({ index, 1: name }) => ({ index, name }));
  return (offset) =>
    comments.findLast(({ index }) => index <= offset - WRAPPER.length)?.name ??
      "bundle";
}

/** Returns the name that a module is counted under; a package counts as one. */
function getGroup(name: string): string {
  const [folder, library, scoped] = name.split("/");
  if (folder !== "node_modules") {
    return name;
  }
  return library.startsWith("@") ? `${library}/${scoped}` : library;
}

const session = new Session();
let counting = false;
let round = 0;

function writeReport(): void {
  session.post("Profiler.takePreciseCoverage", (error, { result }) => {
    if (error) {
      throw error;
    }
    const counts: FunctionCounts["counts"] = {};
    for (const { url, functions } of result) {
      if (url === import.meta.url) {
        continue;
      }
      const findModule = url.endsWith("bundle.cjs")
        ? createModuleLookup(url)
        : () => url;
      for (const { ranges: [{ startOffset, count }] } of functions) {
        const group = count > 0 ? getGroup(findModule(startOffset)) : "";
        counts[group] = (counts[group] ?? 0) + count;
      }
    }
    const report: FunctionCounts = { round: ++round, counts };
    process.stderr.write(`${COUNTS_PREFIX}${JSON.stringify(report)}\n`);
  });
}

session.connect();
session.post("Profiler.enable");
process.on("SIGUSR2", () => {
  if (counting) {
    writeReport();
    return;
  }
  counting = true;
  session.post("Profiler.startPreciseCoverage", { callCount: true });
});
