import { test } from "tap";
import {
  createDepartureRegistry,
  type Departure,
  DEPARTURE_RETENTION_MS,
  MAX_DEPARTURES,
} from "./departures.ts";

const boot = (name: string): Departure => ({ kind: "boot", boot: name });

test("departures are kept by VM, once each, and survive a snapshot", (t) => {
  const registry = createDepartureRegistry([]);
  registry.record("vm1", boot("a"), 10);
  registry.record("vm1", boot("a"), 20);
  registry.record("vm2", boot("b"), 30);
  registry.record(
    "vm1",
    { kind: "instance", instance: "i", startedBy: 5 },
    40,
  );
  registry.record(
    "vm1",
    { kind: "instance", instance: "i", startedBy: 9 },
    50,
  );
  const restored = createDepartureRegistry(registry.entries());
  t.same(restored.of("vm1"), [
    boot("a"),
    { kind: "instance", instance: "i", startedBy: 9 },
  ]);
  t.ok(restored.hasLeft("vm1", "a"));
  t.notOk(restored.hasLeft("vm1", "b"), "the boot of another VM");
  t.end();
});

test("departures are dropped after their retention, and beyond a number a VM", (t) => {
  const registry = createDepartureRegistry([]);
  registry.record("vm1", boot("old"), 0);
  registry.record("vm2", boot("gone"), 0);
  registry.record("vm1", boot("kept"), DEPARTURE_RETENTION_MS);
  registry.record("vm1", boot("new"), DEPARTURE_RETENTION_MS + 1);
  t.same(registry.of("vm1"), [boot("kept"), boot("new")]);
  t.same(registry.of("vm2"), []);
  for (let index = 0; index < 2 * MAX_DEPARTURES; index++) {
    registry.record("vm3", boot(`${index}`), DEPARTURE_RETENTION_MS);
  }
  t.equal(registry.of("vm3").length, MAX_DEPARTURES);
  t.ok(registry.hasLeft("vm3", `${2 * MAX_DEPARTURES - 1}`), "the newest");
  t.end();
});
