/**
 * Test harness: the product on the platform, in one process on loopback, with a
 * control replica, a node and a small backend server.
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import {
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { createPlatform } from "../../platform/platform.ts";
import {
  parsePlatformSettings,
  type PlatformSettings,
} from "../../platform/settings.ts";
import { type Logger, silentLogger } from "../../src/core/logger.ts";
import { findFreePortRange, findFreePorts } from "../../src/demo/ports.ts";
import { type MustardcrossProcess, startProcess } from "../../src/process.ts";
import { eventually } from "../processes.ts";

export const HOST = "127.0.0.1";
export const SERVICE = "billing";
export const ZONE = "east";
export const INSTANCE = "i-one";

/** Request as the backend server received it. */
export interface ReceivedRequest {
  method: string;
  url: string;
  headers: IncomingHttpHeaders;
  body: string;
}

/** Answer to a call. */
export interface CallResult {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
}

/** Handles a request in place of the backend server. */
export type Behaviour = (
  received: ReceivedRequest,
  response: ServerResponse,
) => void;

/**
 * Handles a request whose body is not read yet. Returns whether it did; if not,
 * the body is read and the behaviour of the server follows.
 */
export type EarlyBehaviour = (
  incoming: IncomingMessage,
  response: ServerResponse,
) => boolean;

/** Running product on the platform. */
export interface Harness {
  /** URL of the operator API. */
  operator: string;
  /** URL of the node API. */
  nodeApi: string;
  /** URL of the node's readiness. */
  ready: string;
  /** URL for callers' requests. */
  callers: string;
  /** Address of the node's metrics. */
  metricsAddress: string;
  /** Requests that the backend server received, health checks left out. */
  received: ReceivedRequest[];
  process: MustardcrossProcess;
  /** Replaces the behaviour of the backend server. */
  setBehaviour(behaviour: Behaviour): void;
  /** Replaces the behaviour of the backend server before a body is read. */
  setEarlyBehaviour(behaviour: EarlyBehaviour): void;
  /** Sets whether the backend server's health check succeeds. */
  setHealthy(healthy: boolean): void;
  /**
   * Sends a heartbeat of the backend server, with some fields changed, until it
   * gets a clear answer.
   */
  sendHeartbeat(
    change?: Record<string, unknown>,
    id?: string,
  ): Promise<CallResult>;
  stop(): Promise<void>;
}

/** Formats a settings file as the platform fills it in. */
export function formatSettings(
  values: { ports: number[]; listen: string; data?: string; server?: string },
): string {
  const { ports, listen, data, server } = values;
  return `
vm = "vm1"
domain = "${ZONE}"
region = "south"
ip = "${HOST}"
cluster_ports = [${ports.join(", ")}]
seeds = ["${HOST}:1"]
domains = ["${ZONE}", "west"]
bootstrap = true
${data ? `data = "${data}"` : ""}
${server ? `server_address = "${server}"\nservice = "${SERVICE}"` : ""}
a_field_that_is_new = 7
[listen]
${listen}
[bounds]
grace = "6s"
config_apply = "2000ms"
retry_budget_ratio = 0.2
`;
}

/** Calls an address and returns the whole answer. */
export async function callUrl(
  url: string,
  options: {
    method?: "GET" | "PUT" | "PATCH" | "POST" | "DELETE";
    headers?: Record<string, string>;
    body?: string;
  } = {},
): Promise<CallResult> {
  const answer = await request(url, { method: "GET", ...options });
  return {
    status: answer.statusCode,
    headers: answer.headers,
    body: await answer.body.text(),
  };
}

const RESEND_DELAY_MS = 100;
const MAX_RESENDS = 100;

/**
 * Calls an address as servers and operators do: after a 503, which says that
 * nothing was changed or recorded, they send the call again.
 */
export async function callUntilClear(
  ...call: Parameters<typeof callUrl>
): Promise<CallResult> {
  let answer = await callUrl(...call);
  for (let resends = 0; resends < MAX_RESENDS; resends++) {
    if (answer.status !== 503) {
      break;
    }
    await new Promise((resolve) => setTimeout(resolve, RESEND_DELAY_MS));
    answer = await callUrl(...call);
  }
  return answer;
}

/** Answers as a healthy server does. */
export const answerNormally: Behaviour = (received, response) => {
  const id = String(received.headers["x-mustardcross-request-id"]);
  response.writeHead(200, {
    "x-mustardcross-request-id": id,
    "x-mustardcross-response-signature": `signed-${id}`,
    "x-mustardcross-server-load": "1,0,8,100",
  });
  response.end(`${received.method} ${received.url} ${received.body}`);
};

function startBackend(
  port: number,
  options: {
    received: ReceivedRequest[];
    behaviour: () => Behaviour;
    earlyBehaviour: () => EarlyBehaviour;
    healthy: () => boolean;
  },
): Promise<Server> {
  const server = createServer((incoming, response) => {
    if (incoming.url === "/health") {
      response.writeHead(options.healthy() ? 200 : 503, {
        "x-mustardcross-instance-id": INSTANCE,
        "x-mustardcross-server-load": "0,0,8,100",
      });
      response.end();
      return;
    }
    if (options.earlyBehaviour()(incoming, response)) {
      return;
    }
    let body = "";
    incoming.on("data", (part) => {
      body += part;
    });
    incoming.on("end", () => {
      const { method = "", url = "", headers } = incoming;
      const request = { method, url, headers, body };
      options.received.push(request);
      options.behaviour()(request, response);
    });
  });
  return new Promise((resolve) =>
    server.listen(port, HOST, () => resolve(server))
  );
}

function parseSettings(text: string): PlatformSettings {
  return parsePlatformSettings("harness.toml", text)._unsafeUnwrap();
}

/** Starts a harness without a configuration and without heartbeats. */
export async function startHarness(
  logger: Logger = silentLogger,
): Promise<Harness> {
  const directory = mkdtempSync(join(tmpdir(), "mustardcross-platform-"));
  const [rpc, controlMetrics] = await findFreePortRange(2);
  const [peer, local] = await findFreePortRange(2);
  const [operator, nodeApi, ready, callers, server] = await findFreePorts(5);
  const received: ReceivedRequest[] = [];
  let behaviour = answerNormally;
  let earlyBehaviour: EarlyBehaviour = () => false;
  let healthy = true;
  const backend = await startBackend(server, {
    received,
    behaviour: () => behaviour,
    earlyBehaviour: () => earlyBehaviour,
    healthy: () => healthy,
  });
  const control = parseSettings(formatSettings({
    ports: [rpc, controlMetrics],
    listen: `control = "${HOST}:${operator}"`,
    data: directory,
  }));
  const node = parseSettings(formatSettings({
    ports: [peer, local],
    listen: `control = "${HOST}:${nodeApi}"\nready = "${HOST}:${ready}"\n` +
      `outbound = "${HOST}:${callers}"`,
    server: `${HOST}:${server}`,
  }));
  const address = `${HOST}:${rpc}`;
  const nodePlatform = createPlatform(() => node);
  const controlPlatform = createPlatform(() => control);
  const process = await startProcess({
    ...node.node,
    control_addresses: [address],
    node: { ...node.node.node!, local_address: `${HOST}:${local}` },
    control: {
      ...control.control.control!,
      founders: { [address]: address },
    },
  }, {
    logger,
    platform: {
      ...nodePlatform,
      attachControl: controlPlatform.attachControl,
    },
  });
  let sequence = 0;
  const harness: Harness = {
    operator: `http://${HOST}:${operator}`,
    nodeApi: `http://${HOST}:${nodeApi}`,
    ready: `http://${HOST}:${ready}`,
    callers: `http://${HOST}:${callers}`,
    metricsAddress: `${HOST}:${local}`,
    received,
    process,
    setHealthy(next) {
      healthy = next;
    },
    setBehaviour(next) {
      behaviour = next;
    },
    setEarlyBehaviour(next) {
      earlyBehaviour = next;
    },
    sendHeartbeat: (change = {}, id = INSTANCE) =>
      callUntilClear(`${harness.nodeApi}/instances/${id}`, {
        method: "PUT",
        body: JSON.stringify({
          service: SERVICE,
          address: `${HOST}:${server}`,
          zone: ZONE,
          version: "v1",
          slots: 8,
          state: "ready",
          cold_remaining: "0ms",
          seq: ++sequence,
          born: 1_000,
          ...change,
        }),
      }),
    async stop() {
      await process.stop();
      backend.closeAllConnections();
      backend.close();
      rmSync(directory, { recursive: true, force: true });
    },
  };
  return harness;
}

/** Creates a manifest with one service and its routes. */
export function createManifest(
  version: string,
  options: { timeout?: string; extra?: unknown[] } = {},
): string {
  const route = (name: string, spec: Record<string, unknown>) => ({
    type: "routes",
    metadata: { name },
    spec: {
      host: "shop.example",
      timeout: options.timeout ?? "800ms",
      target_latency: "250ms",
      priority: 1,
      service: SERVICE,
      max_attempts: 2,
      ...spec,
    },
  });
  return JSON.stringify({
    version,
    resources: [
      route("r-read", { path_prefix: "/read/", kind: "idempotent" }),
      route("r-pay", { path_prefix: "/pay/", kind: "non_idempotent" }),
      {
        type: "services",
        metadata: { name: SERVICE },
        spec: {
          health_path: "/health",
          max_connections: 50,
          protocol: "h1",
          tls: false,
          cold_start: "3s",
          cold_per_s: 42.0,
        },
      },
      {
        type: "limits",
        metadata: {},
        spec: {
          max_header_bytes: 16384,
          max_body_bytes: 1_000_000,
          header_timeout: "3000ms",
          idle_timeout: "15000ms",
        },
      },
      ...(options.extra ?? []),
    ],
  });
}

/** Submits a manifest. */
export function putManifest(
  harness: Harness,
  text: string,
  ifMatch: string,
): Promise<CallResult> {
  return callUrl(`${harness.operator}/config`, {
    method: "PUT",
    headers: { "if-match": ifMatch, "content-type": "application/json" },
    body: text,
  });
}

/** Starts a harness that serves: with a manifest and a first heartbeat. */
export async function startServingHarness(logger?: Logger): Promise<Harness> {
  const harness = await startHarness(logger);
  await eventually(
    "the first manifest is accepted",
    async () =>
      (await putManifest(harness, createManifest("00000002"), "00000000"))
        .status === 200,
  );
  await harness.sendHeartbeat();
  await eventually("a request is answered", async () => {
    const answer = await sendRequest(harness, "/read/first");
    return answer.status === 200;
  });
  return harness;
}

/** Sends a caller's request. */
export function sendRequest(
  harness: Harness,
  path: string,
  options: {
    method?: "GET" | "POST";
    id?: string;
    host?: string;
    headers?: Record<string, string>;
    body?: string;
  } = {},
): Promise<CallResult> {
  return callUrl(`${harness.callers}${path}`, {
    method: options.method,
    body: options.body,
    headers: {
      host: options.host ?? "shop.example",
      "x-mustardcross-request-id": options.id ?? "id-1",
      "x-mustardcross-request-deadline-ms": "700",
      ...options.headers,
    },
  });
}
