/**
 * Removes compiled tests whose source is gone: the compiler leaves them, and the
 * test runner would run and count them.
 * @module
 */
import { existsSync, readdirSync, rmSync } from "node:fs";
import { join } from "node:path";

const COMPILED_TEST = /_test\.js(\.map)?$/;

/** Removes compiled tests that have no source file; returns their paths. */
export function removeStaleTests(
  compiledFolder: string,
  sourceFolder: string,
): string[] {
  const stale = readdirSync(compiledFolder, {
    recursive: true,
    encoding: "utf8",
  })
    .filter((file) => COMPILED_TEST.test(file))
    .filter((file) =>
      !existsSync(join(sourceFolder, file.replace(/\.js(\.map)?$/, ".ts")))
    );
  stale.forEach((file) => rmSync(join(compiledFolder, file)));
  return stale;
}
