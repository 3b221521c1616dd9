/**
 * Too little was served, since a call cost a process that has only just begun
 * ten times what it costs later (issue 21).
 */
import { join } from "node:path";
import { test } from "tap";
import { startBundleFleet } from "../../bench/platform/bundle_fleet.ts";

test("calls run no code that the runtime compiles in each process", async (t) => {
  const fleet = await startBundleFleet({
    program: join(import.meta.dirname, "compiling_main.js"),
    nodes: 2,
    slots: 8,
    workMs: 5,
  });
  t.teardown(() => fleet.stop());
  t.equal(fleet.errors(), "");
});
