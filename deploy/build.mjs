/**
 * Bundles the product for the platform into `target/`: one script, V8's cache
 * of its compiled code, and a loader that hands both to the runtime.
 * @module
 */
import { execFileSync } from "node:child_process";
import { mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath, pathToFileURL } from "node:url";
import { build } from "esbuild";
import { parse } from "smol-toml";

const ROOT = fileURLToPath(new URL("..", import.meta.url));
const TARGET = join(ROOT, "target");

/**
 * Flags of the runtime, which all roles share: the code cache holds only for
 * the flags that it was made under.
 */
function runtimeFlags() {
  const { roles } = parse(
    readFileSync(join(ROOT, "deploy/system.toml"), "utf8"),
  );
  const flags = Object.values(roles).map(({ run }) =>
    run.split(" ").filter((word) => word.startsWith("--")).join(" ")
  );
  if (new Set(flags).size !== 1) {
    throw new Error(`the roles differ in flags: ${flags.join("; ")}`);
  }
  return flags[0].split(" ").filter((flag) => flag !== "");
}

/** The cache is refused by another version or other flags of the runtime. */
const LOADER = `"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const filename = join(__dirname, "bundle.cjs");
const cacheFile = join(__dirname, "bundle.cache");
const source = "(function (exports, require, module) {" +
  readFileSync(filename, "utf8") + "\\n})";
const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
const script = new Script(source, { filename, cachedData });
if (script.cachedDataRejected) {
  process.stdout.write("level=warn event=code_cache.rejected\\n");
}
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, createRequire(filename), loaded);

/** Writes the code cache once the code has run; without that, it holds less. */
async function writeCodeCache(exerciseFile) {
  // What has not run for a while must stay, too.
  setFlagsFromString("--no-flush-bytecode");
  try {
    const { exercise } = await import(exerciseFile);
    await exercise(loaded.exports);
  } catch (error) {
    process.stderr.write("the code was not exercised: " + error.stack + "\\n");
  }
  setFlagsFromString("--flush-bytecode");
  writeFileSync(cacheFile, script.createCachedData());
  process.exit(0);
}

if (process.argv[2] === "--write-code-cache") {
  void writeCodeCache(process.argv[3]);
} else {
  void loaded.exports.main(process.argv.slice(2));
}
`;

mkdirSync(TARGET, { recursive: true });
await build({
  entryPoints: [join(ROOT, "platform/main.ts")],
  outfile: join(TARGET, "bundle.cjs"),
  bundle: true,
  platform: "node",
  format: "cjs",
  target: "node20",
  logLevel: "warning",
});
const loader = join(TARGET, "mustardcross.js");
writeFileSync(loader, LOADER);
writeFileSync(join(TARGET, "package.json"), '{ "type": "commonjs" }\n');
rmSync(join(TARGET, "bundle.cache"), { force: true });
execFileSync(process.execPath, [
  ...runtimeFlags(),
  loader,
  "--write-code-cache",
  pathToFileURL(join(ROOT, "deploy/exercise.mjs")).href,
]);
