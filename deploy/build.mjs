/**
 * Builds the program for the platform into `target/`: a bundle in one script,
 * V8's code cache for it, and a loader that runs the script with the cache.
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
 * Returns the Node.js flags of all roles. They have to be the same for each
 * role, since V8 accepts a code cache only under the flags it was created with.
 */
function readRuntimeFlags() {
  const { roles } = parse(
    readFileSync(join(ROOT, "deploy/system.toml"), "utf8"),
  );
  const flags = Object.values(roles).map(({ run }) =>
    run.split(" ").filter((word) => word.startsWith("--")).join(" ")
  );
  if (new Set(flags).size !== 1) {
    throw new Error(
      `deploy/system.toml: the roles have different Node.js flags: ${
        flags.join("; ")
      }`,
    );
  }
  return flags[0].split(" ").filter((flag) => flag !== "");
}

/**
 * Source of the loader. V8 rejects the cache if its version or flags differ
 * from those that the cache was created with.
 */
const LOADER = `"use strict";
const { existsSync, readFileSync, writeFileSync } = require("node:fs");
const { createRequire } = require("node:module");
const { join } = require("node:path");
const { setFlagsFromString } = require("node:v8");
const { Script } = require("node:vm");

const filename = join(__dirname, "bundle.cjs");
const cacheFile = join(__dirname, "bundle.cache");

/** Compiles the bundle; what is read for it is not kept afterwards. */
function compile() {
  const cachedData = existsSync(cacheFile) ? readFileSync(cacheFile) : undefined;
  // In ASCII, V8 keeps one byte a character of the source.
  const source = readFileSync(filename, "latin1");
  return new Script(source, { filename, cachedData });
}

const script = compile();
if (script.cachedDataRejected) {
  process.stdout.write("level=warn event=code_cache.rejected\\n");
}
const loaded = { exports: {} };
script.runInThisContext()(loaded.exports, createRequire(filename), loaded);

/** Runs the code, so that it is compiled, and then writes the code cache. */
async function writeCodeCache(exerciseFile) {
  // The flag keeps V8 from discarding the code of functions not used recently.
  setFlagsFromString("--no-flush-bytecode");
  try {
    const { exercise } = await import(exerciseFile);
    await exercise(loaded.exports);
  } catch (error) {
    process.stderr.write(
      "the code cache is incomplete, since the exercise failed: " +
        error.stack + "\\n",
    );
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
  // The process keeps the source; names stay for the sake of stack traces.
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: "none",
  charset: "ascii",
  banner: { js: "(function (exports, require, module) {" },
  footer: { js: "})" },
  logLevel: "warning",
});
const loader = join(TARGET, "mustardcross.js");
writeFileSync(loader, LOADER);
writeFileSync(join(TARGET, "package.json"), '{ "type": "commonjs" }\n');
rmSync(join(TARGET, "bundle.cache"), { force: true });
execFileSync(process.execPath, [
  ...readRuntimeFlags(),
  loader,
  "--write-code-cache",
  pathToFileURL(join(ROOT, "deploy/exercise.mjs")).href,
]);
