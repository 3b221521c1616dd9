/**
 * Compiled tests whose source is gone: a compiler leaves them, and they would
 * be run and counted.
 * @module
 */
import { existsSync, readdirSync, rmSync } from "node:fs";
import { join } from "node:path";

const COMPILED_TEST = /_test\.js(\.map)?$/;

/** Removes compiled tests under `built` that have no source under `sources`. */
export function removeStaleTests(built: string, sources: string): string[] {
  const stale = readdirSync(built, { recursive: true, encoding: "utf8" })
    .filter((file) => COMPILED_TEST.test(file))
    .filter((file) =>
      !existsSync(join(sources, file.replace(/\.js(\.map)?$/, ".ts")))
    );
  stale.forEach((file) => rmSync(join(built, file)));
  return stale;
}
