/**
 * Measures a node with the limits of a deployment beside crowds at its callers' port:
 * its memory, the bytes in its sockets, and how many requests of another client get
 * their answer. Run by hand, apart from other load:
 *
 *     node dist/tests/clients/platform/large_crowd_main.js [CONNECTIONS] [BEHAVIOUR]
 */
import { fork } from "node:child_process";
import { fileURLToPath } from "node:url";
import { fetchStatusLine } from "../crowd.ts";
import { BEHAVIOURS, startLargeCrowd } from "../large_crowd.ts";
import { NOTHING, request } from "../requests.ts";
import { READ, startPlatformSite } from "./site.ts";

const CONNECTIONS = 1_500;
const CROWD_MS = 10_000;
const MB = 1024 * 1024;
/** What deploy/system.toml and the smallest machine of the platform allow. */
const PROCESS = { heapMb: 160, descriptors: 4_100 };
const ROUTES: Record<string, string> = {
  "a path that no route has": NOTHING,
  "a route": request(
    "GET /read/1",
    "host: shop.example\r\nx-mustardcross-request-id: many\r\n",
  ),
};

async function measure(behaviour: string, path: string): Promise<void> {
  const site = await startPlatformSite({ process: PROCESS, bodyBytes: 2_000 });
  const connections = Number(process.argv[2] ?? CONNECTIONS);
  // The crowd's own load must not delay the other client.
  const crowd = fork(fileURLToPath(import.meta.url), [], {
    env: {
      ...process.env,
      CROWD: JSON.stringify({
        port: site.ports.callers,
        request: ROUTES[path],
        behaviour,
        connections,
      }),
    },
  });
  let [socketBytes, asked, served] = [0, 0, 0];
  const until = Date.now() + CROWD_MS;
  while (Date.now() < until && site.node.alive) {
    const line = await fetchStatusLine(site.ports.callers, READ.request);
    asked++;
    served += line.startsWith("HTTP/1.1 200") ? 1 : 0;
    socketBytes = Math.max(socketBytes, site.node.socketBytes());
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  const memory = site.node.alive ? site.node.peakBytes() : NaN;
  crowd.kill("SIGKILL");
  console.log(
    `${behaviour}, ${path}: ${connections} connections, memory ` +
      `${(memory / MB).toFixed(0)} MB, in sockets ` +
      `${(socketBytes / MB).toFixed(0)} MB, ${served} of ${asked} served` +
      (site.node.alive ? "" : ", the process has ended"),
  );
  await site.end();
}

async function measureAll(): Promise<void> {
  for (const behaviour of Object.keys(BEHAVIOURS)) {
    for (const path of Object.keys(ROUTES)) {
      if (`${behaviour}, ${path}`.includes(process.argv[3] ?? "")) {
        await measure(behaviour, path);
      }
    }
  }
}

if (process.env.CROWD) {
  const { port, behaviour, ...crowd } = JSON.parse(process.env.CROWD);
  startLargeCrowd(port, { ...crowd, behaviour: BEHAVIOURS[behaviour] });
} else {
  await measureAll();
}
