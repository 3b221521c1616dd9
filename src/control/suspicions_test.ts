import { test } from "tap";
import {
  createSuspicionRegistry,
  MAX_SUSPECTS,
  type SuspicionRegistry,
} from "./suspicions.ts";

const LIMITS = { crashes: 2, keepMs: 1_000 };

function crash(
  registry: SuspicionRegistry,
  { name, fingerprints, at }: {
    name: string;
    fingerprints: string[];
    at: number;
  },
): void {
  registry.report(
    { service: "work", crashes: [{ crash: name, fingerprints }], cleared: [] },
    { index: at, logTime: at, ...LIMITS },
  );
}

function clear(
  registry: SuspicionRegistry,
  { fingerprint, at }: { fingerprint: string; at: number },
): void {
  registry.report(
    { service: "work", crashes: [], cleared: [fingerprint] },
    { index: at, logTime: at, ...LIMITS },
  );
}

function list(registry: SuspicionRegistry, logTime = 0) {
  return registry.changedSince({ service: "work", revision: 0 }, logTime)
    ?.suspects;
}

test("a crash that is reported again counts once, also after a snapshot", (t) => {
  const registry = createSuspicionRegistry([]);
  crash(registry, { name: "c1", fingerprints: ["f", "g"], at: 1 });
  crash(registry, { name: "c1", fingerprints: ["f"], at: 2 });
  crash(registry, { name: "c2", fingerprints: ["f"], at: 3 });
  const restored = createSuspicionRegistry(registry.entries());
  t.same(list(restored, 10), [
    { fingerprint: "g", crashes: ["c1"], ageMs: 9 },
    { fingerprint: "f", crashes: ["c1", "c2"], ageMs: 7 },
  ]);
  t.equal(
    restored.changedSince({ service: "work", revision: 3 }, 10),
    undefined,
    "a node that has them gets nothing",
  );
  t.equal(
    restored.changedSince({ service: "other", revision: 0 }, 10),
    undefined,
  );
  t.end();
});

test("a suspect is cleared, a quarantined request is not", (t) => {
  const registry = createSuspicionRegistry([]);
  crash(registry, { name: "c1", fingerprints: ["f", "g"], at: 1 });
  crash(registry, { name: "c2", fingerprints: ["f"], at: 2 });
  clear(registry, { fingerprint: "f", at: 3 });
  clear(registry, { fingerprint: "g", at: 4 });
  t.same(list(registry)?.map(({ fingerprint }) => fingerprint), ["f"]);
  t.equal(
    registry.changedSince({ service: "work", revision: 2 }, 4)?.revision,
    4,
    "nodes hear that it was cleared",
  );
  t.end();
});

test("suspects end after their time", (t) => {
  const registry = createSuspicionRegistry([]);
  crash(registry, { name: "c1", fingerprints: ["f"], at: 1 });
  crash(registry, { name: "c2", fingerprints: ["g"], at: 1_002 });
  t.same(list(registry)?.map(({ fingerprint }) => fingerprint), ["g"]);
  t.end();
});

test("many suspects do not displace one with two crashes", (t) => {
  const registry = createSuspicionRegistry([]);
  crash(registry, { name: "c1", fingerprints: ["f"], at: 1 });
  crash(registry, { name: "c2", fingerprints: ["f"], at: 2 });
  const many = Array.from({ length: 2 * MAX_SUSPECTS }, (_, at) => `x${at}`);
  many.forEach((fingerprint, at) =>
    crash(registry, { name: "c3", fingerprints: [fingerprint], at: 3 + at })
  );
  const kept = list(registry) ?? [];
  t.equal(kept.length, MAX_SUSPECTS);
  t.ok(kept.some(({ fingerprint }) => fingerprint === "f"));
  t.ok(kept.some(({ fingerprint }) => fingerprint === many.at(-1)));
  t.end();
});
