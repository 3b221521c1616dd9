import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { prefixRouteSchema } from "../settings/site.ts";
import { createPrefixTable, pickTarget } from "./prefix_table.ts";

function createTable(...prefixes: [host: string, prefix: string][]) {
  return createPrefixTable(prefixes.map(([host, prefix]) => ({
    name: `${host}${prefix}`,
    ...prefixRouteSchema.parse({
      host,
      prefix,
      class: "any",
      repeatable: true,
      targets: [{ service: "work" }],
    }),
  })));
}

test("the longest matching prefix of the host is selected", (t) => {
  const table = createTable(
    ["a.example", "/"],
    ["a.example", "/x/"],
    ["a.example", "/x/y/"],
    ["b.example", "/x/"],
  );
  const found = (host: string, path: string) => table.find(host, path)?.name;
  t.equal(found("a.example", "/x/y/z"), "a.example/x/y/");
  t.equal(found("a.example", "/x/yy"), "a.example/x/");
  t.equal(found("a.example", "/xx"), "a.example/");
  t.equal(found("A.example:8080", "/x/"), "a.example/x/");
  t.equal(found("b.example", "/x/1"), "b.example/x/");
  t.equal(found("b.example", "/y/1"), undefined);
  t.equal(found("c.example", "/x/1"), undefined);
  t.equal(
    found("a.example", "*"),
    undefined,
    "a request without a path matches no route",
  );
  t.end();
});

test("requests of a route are split among its services by weight", (t) => {
  const random = createSeededRandom(3);
  const targets = [
    { service: "one", weight: 90 },
    { service: "none", weight: 0 },
    { service: "other", weight: 10 },
  ];
  const counts = new Map<string, number>();
  for (let count = 0; count < 2_000; count++) {
    const { service } = pickTarget(targets, random.fraction);
    counts.set(service, (counts.get(service) ?? 0) + 1);
  }
  const share = (counts.get("other") ?? 0) / 2_000;
  t.ok(share > 0.08 && share < 0.12, String(share));
  t.equal(counts.get("none"), undefined);
  t.end();
});

test("weights are kept however large they are", (t) => {
  const random = createSeededRandom(1);
  const targets = [
    { service: "one", weight: 1.5e308 },
    { service: "other", weight: 1.5e308 },
  ];
  const picked = Array.from(
    { length: 1_000 },
    () => pickTarget(targets, random.fraction).service,
  );
  const share = picked.filter((name) => name === "one").length / 1_000;
  t.ok(share > 0.4 && share < 0.6, String(share));
  t.end();
});

test("a path of thousands of slashes is not looked up thousands of times", (t) => {
  const table = createTable(["a.example", "/one/two/"]);
  const lookUp = Map.prototype.get;
  let lookups = 0;
  t.intercept(Map.prototype, "get", {
    value(this: Map<unknown, unknown>, key: unknown) {
      lookups++;
      return lookUp.call(this, key);
    },
  });
  const slashes = "/".repeat(15_000);
  t.ok(table.find("a.example", "/one/two/" + slashes));
  t.equal(table.find("a.example", slashes), undefined);
  t.ok(lookups < 50, `${lookups} lookups`);
  t.end();
});
