/**
 * Starts a node and a control replica on the platform, as processes of their
 * own, and a backend server.
 * @module
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { findFreePortRange, findFreePorts } from "../../../src/demo/ports.ts";
import {
  callUntilClear,
  callUrl,
  createManifest,
  formatSettings,
  HOST,
  INSTANCE,
  SERVICE,
  ZONE,
} from "../../platform/harness.ts";
import type { ClientLimits } from "../../../src/http/client_limits.ts";
import { eventually } from "../../processes.ts";
import { type ProcessLimits, type Site, startLimited } from "../processes.ts";
import type { OrdinaryRequest } from "../crowd.ts";
import { request } from "../requests.ts";

/** An ordinary call of the platform's site. */
export const READ: OrdinaryRequest = {
  port: "callers",
  request: request(
    "GET /read/1",
    "host: shop.example\r\nx-mustardcross-request-id: one\r\n",
  ),
  status: 200,
};

const HEARTBEAT_INTERVAL_MS = 1_000;
const HERE = dirname(fileURLToPath(import.meta.url));
const PLATFORM_MAIN = join(HERE, "platform_process.js");

/** Starts a backend server that answers everything with a body of some size. */
function startBackend(port: number, bodyBytes: number): Promise<Server> {
  const body = Buffer.alloc(bodyBytes, "b");
  const server = createServer((request, response) => {
    const id = String(request.headers["x-mustardcross-request-id"]);
    response.writeHead(200, {
      "x-mustardcross-request-id": id,
      "x-mustardcross-response-signature": `signed-${id}`,
      "x-mustardcross-instance-id": INSTANCE,
      "x-mustardcross-server-load": "0,0,8,100",
      "content-length": bodyBytes,
    });
    response.end(body);
  });
  return new Promise((resolve) =>
    server.listen(port, HOST, () => resolve(server))
  );
}

/**
 * Starts the product on the platform: a node, a control replica, a server whose
 * answers have some bytes. Limits on clients are the defaults where not given.
 */
export async function startPlatformSite(
  { bodyBytes = 64, limits = {}, process }: {
    bodyBytes?: number;
    limits?: Partial<ClientLimits>;
    process?: ProcessLimits;
  } = {},
): Promise<Site> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-clients-"));
  const [rpc, controlMetrics] = await findFreePortRange(2);
  const [peer, metrics] = await findFreePortRange(2);
  const [operator, nodeApi, ready, callers, server] = await findFreePorts(5);
  function write(name: string, text: string): string {
    const file = join(folder, name);
    writeFileSync(file, text);
    return file;
  }
  const nodeFile = write(
    "node.toml",
    formatSettings({
      ports: [peer, metrics],
      listen: `control = "${HOST}:${nodeApi}"\nready = "${HOST}:${ready}"\n` +
        `outbound = "${HOST}:${callers}"`,
      server: `${HOST}:${server}`,
    }),
  );
  const controlFile = write(
    "control.toml",
    formatSettings({
      ports: [rpc, controlMetrics],
      listen: `control = "${HOST}:${operator}"`,
      data: join(folder, "data"),
    }),
  );
  const backend = await startBackend(server, bodyBytes);
  const address = `${HOST}:${rpc}`;
  const control = startLimited(PLATFORM_MAIN, [
    "control",
    controlFile,
    address,
    JSON.stringify(limits),
  ], process);
  const node = startLimited(PLATFORM_MAIN, [
    "node",
    nodeFile,
    address,
    JSON.stringify(limits),
  ], process);
  const ports = {
    operator,
    nodeApi,
    ready,
    callers,
    metrics,
    controlMetrics,
  };
  let seq = 0;
  async function sendHeartbeat(): Promise<void> {
    const url = `http://${HOST}:${nodeApi}/instances/${INSTANCE}`;
    await callUrl(url, {
      method: "PUT",
      body: JSON.stringify({
        service: SERVICE,
        address: `${HOST}:${server}`,
        zone: ZONE,
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining: "0ms",
        seq: ++seq,
        born: 1_000,
      }),
    });
  }
  // A server whose calls stay out for 10 s gets no more requests.
  const heartbeats = setInterval(
    () => void sendHeartbeat().catch(() => {}),
    HEARTBEAT_INTERVAL_MS,
  );
  const site: Site = {
    node,
    control,
    ports,
    async end() {
      clearInterval(heartbeats);
      await Promise.all([node.end(), control.end()]);
      backend.closeAllConnections();
      backend.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
  try {
    await eventually("the manifest is accepted", async () => {
      try {
        const { status } = await callUntilClear(
          `http://${HOST}:${operator}/config`,
          {
            method: "PUT",
            headers: {
              "if-match": "00000000",
              "content-type": "application/json",
            },
            body: createManifest("00000002"),
          },
        );
        return status === 200 || status === 412;
      } catch {
        return false;
      }
    });
    await eventually("the server is registered", async () => {
      try {
        await sendHeartbeat();
        const answer = await callUntilClear(
          `http://${HOST}:${callers}/read/1`,
          {
            headers: {
              host: "shop.example",
              "x-mustardcross-request-id": "first",
              "x-mustardcross-request-deadline-ms": "700",
            },
          },
        );
        return answer.status === 200;
      } catch {
        return false;
      }
    });
    return site;
  } catch (error) {
    const outputs = `${node.output()}\n${control.output()}`;
    await site.end();
    throw new Error(`${String(error)}\n${outputs}`);
  }
}
