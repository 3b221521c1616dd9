import { fileURLToPath } from "node:url";
import { test } from "tap";
import { checkSite, loadSite, parseSource } from "./load.ts";
import { formatSettingsError } from "./settings_error.ts";
import type { Source } from "./merge.ts";
import { processSchema } from "./process.ts";

const EXAMPLES: [name: string, services: string[]][] = [
  ["rajkot", ["billing", "records"]],
  ["sambirano", ["lots", "documents"]],
];

const BASE = `
name = "base"
domains = ["a", "b"]
[services.work]
team = "work"
slots = 12
[services.work.routes.look]
path = "/look"
class = "look"
repeatable = true
`;

function source(file: string, text: string): Source {
  return parseSource(file, text)._unsafeUnwrap();
}

function validateOverlay(overlay: string): string[] {
  const checked = checkSite(
    source("base.toml", BASE),
    source("site.toml", overlay),
  );
  return checked.isErr() ? checked.error.map(formatSettingsError) : [];
}

test("an overlay overrides single values, and the origin of each is recorded", (t) => {
  const { site, origins } = checkSite(
    source("base.toml", BASE),
    source("site.toml", 'name = "site"\n[services.work]\nslots = 20\n'),
  )._unsafeUnwrap();
  t.equal(site.services.work.slots, 20);
  t.equal(site.services.work.routes.look.path, "/look");
  t.equal(origins.get("services.work.slots"), "site.toml");
  t.equal(origins.get("services.work.team"), "base.toml");
  t.equal(origins.get("services.work.queue_limit"), "default");
  t.end();
});

test("an overlay drops items and keys only under replace and remove", (t) => {
  t.match(validateOverlay('domains = ["a"]'), [
    'site.toml: domains: found a list without ["b"]',
  ]);
  t.same(validateOverlay('replace = ["domains"]\ndomains = ["c"]'), []);
  t.match(validateOverlay('services = "none"'), [
    /expected a table, as in the base/,
  ]);
  t.same(validateOverlay('remove = ["services.work"]'), []);
  t.match(validateOverlay('remove = ["services.other"]'), [
    /services.other: found no such key/,
  ]);
  t.end();
});

test("all errors are reported together, unknown keys with the nearest known one", (t) => {
  const found = validateOverlay(
    "[services.work]\nslotz = 1\ncold_limit = 0\n[retry]\nbudget_ratio = 2\n",
  );
  t.match(found.find((one) => one.includes("slotz")), /expected "slots"/);
  t.match(found.find((one) => one.includes("cold_limit")), /found 0/);
  t.match(found.find((one) => one.includes("budget_ratio")), /at most 1/);
  t.end();
});

test("contradictory and duplicate routes are rejected", (t) => {
  const route = (name: string, more: string): string =>
    `[services.work.routes.${name}]\npath = "/x"\nclass = "x"\n${more}\n`;
  t.match(validateOverlay(route("one", "repeatable = false\nhedge = true")), [
    /hedge: found true, expected false, since the route is not repeatable/,
  ]);
  t.match(
    validateOverlay(
      route("one", "repeatable = true") + route("two", "repeatable = true"),
    ),
    [/"GET \/x", which services.work.routes.one has too/],
  );
  t.end();
});

test("the addresses of a process must be IP addresses with ports", (t) => {
  const parse = (address: string): boolean =>
    processSchema.safeParse({
      vm: "v",
      domain: "d",
      control_addresses: [address],
      node: {
        caller_address: address,
        peer_address: address,
        local_address: address,
      },
    }).success;
  t.ok(parse("10.0.0.1:7000"));
  t.ok(parse("[::1]:7000"));
  t.notOk(parse("localhost:7000"));
  t.notOk(parse("10.0.0.1"));
  t.notOk(parse("10.0.0.1:70000"));
  t.end();
});

test("the examples are valid, except for the broken overlay", (t) => {
  const example = (name: string): string =>
    fileURLToPath(new URL(`../../../examples/${name}.toml`, import.meta.url));
  for (const [name, services] of EXAMPLES) {
    const loaded = loadSite(example("base"), example(name));
    t.same(Object.keys(loaded._unsafeUnwrap().site.services), services);
  }
  t.ok(loadSite(example("base"), example("broken-overlay")).isErr());
  t.end();
});
