/**
 * Reads the imports of all modules: none may import itself by way of others, types
 * included. A circle means that a type stands above the modules that use it.
 */
import { test } from "tap";
import { readdirSync, readFileSync } from "node:fs";
import { dirname, join } from "node:path";

const ROOTS = ["src", "platform"];

function listModules(): string[] {
  return ROOTS.flatMap((root) =>
    readdirSync(root, { recursive: true, encoding: "utf8" })
      .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
      .map((name) => join(root, name))
  );
}

function readImports(module: string): string[] {
  const text = readFileSync(module, "utf8");
  return [...text.matchAll(/ from "(\.[^"]+\.ts)"/g)]
    .map(([, path]) => join(dirname(module), path));
}

/** Returns the circles, each as the modules from one back to itself. */
function findCircles(imports: ReadonlyMap<string, string[]>): string[] {
  const circles: string[] = [];
  const finished = new Set<string>();
  function visit(module: string, path: string[]): void {
    const start = path.indexOf(module);
    if (start >= 0) {
      circles.push([...path.slice(start), module].join(" -> "));
      return;
    }
    if (finished.has(module)) {
      return;
    }
    imports.get(module)?.forEach((next) => visit(next, [...path, module]));
    finished.add(module);
  }
  [...imports.keys()].forEach((module) => visit(module, []));
  return circles;
}

test("no module imports itself by way of others", (t) => {
  const imports = new Map(
    listModules().map((module) => [module, readImports(module)]),
  );
  t.ok(imports.size > 200, `${imports.size} modules are read`);
  t.same(findCircles(imports), []);
  t.end();
});

test("a circle is found", (t) => {
  const imports = new Map([["a", ["b"]], ["b", ["c"]], ["c", ["b"]]]);
  t.same(findCircles(imports), ["b -> c -> b"]);
  t.end();
});
