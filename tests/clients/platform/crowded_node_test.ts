/**
 * Guards against a process that runs out of memory, or serves nobody else, because
 * clients that are not under control hold more connections than it allows: at the
 * callers' port of a node, at a path that no route has.
 */
import { test } from "tap";
import { BEHAVIOURS, checkLargeCrowd, LOW_LIMITS } from "../large_crowd.ts";
import { NOTHING } from "../requests.ts";
import { READ, startPlatformSite } from "./site.ts";

for (const connections of [60, 80]) {
  test(`${connections} connections of 64 that a node allows`, async (t) => {
    for (const behaviour of Object.keys(BEHAVIOURS)) {
      await t.test(behaviour, async (t) => {
        const site = await startPlatformSite({ limits: LOW_LIMITS });
        t.teardown(site.end);
        await checkLargeCrowd(t, site, {
          process: "node",
          port: "callers",
          request: NOTHING,
          behaviour,
          connections,
          ordinary: READ,
        });
      });
    }
  });
}
