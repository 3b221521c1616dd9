/**
 * Guards against a process that runs out of memory, or serves nobody else, because
 * clients that are not under control hold more connections than it allows: at the
 * ports that are not for callers.
 */
import { test } from "tap";
import {
  checkLargeCrowd,
  type LargeCrowd,
  LOW_LIMITS,
} from "../large_crowd.ts";
import { NOTHING, request } from "../requests.ts";
import { startPlatformSite } from "./site.ts";

const PORTS: Pick<LargeCrowd, "process" | "port" | "request" | "ordinary">[] = [
  {
    process: "node",
    port: "ready",
    request: request("GET /readiness"),
    ordinary: {
      port: "ready",
      request: request("GET /readiness"),
      status: 200,
    },
  },
  {
    process: "node",
    port: "nodeApi",
    request: NOTHING,
    ordinary: { port: "nodeApi", request: NOTHING, status: 404 },
  },
  {
    process: "node",
    port: "metrics",
    request: request("GET /metrics"),
    ordinary: {
      port: "metrics",
      request: request("GET /metrics"),
      status: 200,
    },
  },
  {
    process: "control",
    port: "operator",
    request: request("GET /config"),
    ordinary: {
      port: "operator",
      request: request("GET /config"),
      status: 200,
    },
  },
];

for (const crowd of PORTS) {
  test(`a crowd at the port ${crowd.port}`, async (t) => {
    for (const behaviour of ["stay and read nothing", "never end a request"]) {
      await t.test(behaviour, async (t) => {
        const site = await startPlatformSite({ limits: LOW_LIMITS });
        t.teardown(site.end);
        await checkLargeCrowd(t, site, {
          ...crowd,
          behaviour,
          connections: 40,
        });
      });
    }
  });
}
