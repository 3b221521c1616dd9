/**
 * Calls compiled WebAssembly in each process. In a process that had just
 * started, a call cost ten times what it costs later, so that too few requests
 * were served (issue 21).
 */
import { join } from "node:path";
import { test } from "tap";
import { startBundleFleet } from "../../bench/platform/bundle_fleet.ts";

test("no process compiles WebAssembly to serve calls", async (t) => {
  const fleet = await startBundleFleet({
    program: join(import.meta.dirname, "compiling_main.js"),
    nodes: 2,
    slots: 8,
    workMs: 5,
  });
  t.teardown(() => fleet.stop());
  t.equal(fleet.errors(), "");
});
