import { test } from "tap";
import { MAX_JSON_DEPTH, parseJson } from "./json.ts";

function nest(depth: number): string {
  return "[".repeat(depth) + "]".repeat(depth);
}

test("values are parsed up to the limit of nesting", (t) => {
  t.ok(parseJson(nest(MAX_JSON_DEPTH)).isOk());
  t.match(
    parseJson(nest(MAX_JSON_DEPTH + 1))._unsafeUnwrapErr(),
    /levels deep/,
  );
  const objects = `${'{"a":'.repeat(100_000)}1${"}".repeat(100_000)}`;
  t.match(parseJson(objects)._unsafeUnwrapErr(), /levels deep/);
  t.end();
});

test("brackets in strings do not count", (t) => {
  const text = JSON.stringify({
    [`"${"{".repeat(99)}`]: `\\"${"[".repeat(99)}`,
  });
  t.same(parseJson(text)._unsafeUnwrap(), JSON.parse(text));
  const siblings = JSON.stringify(Array(200).fill([]));
  t.ok(parseJson(siblings).isOk());
  t.end();
});

test("what is no JSON is an error, not an exception", (t) => {
  for (const text of ["", '"', '"\\', "[", "{]", "]]", "1e"]) {
    t.ok(parseJson(text).isErr(), text);
  }
  t.end();
});
