/**
 * The product on the platform, in one process on loopback: a control replica,
 * a node and a small backend server that speaks the platform's HTTP.
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import {
  createServer,
  type IncomingHttpHeaders,
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
import { freePorts, freeRange } from "../../src/demo/ports.ts";
import { type MustardcrossProcess, startProcess } from "../../src/process.ts";
import { eventually } from "../processes.ts";

export const HOST = "127.0.0.1";
export const SERVICE = "billing";
export const ZONE = "east";
export const INSTANCE = "i-one";

/** A request as the backend server saw it. */
export interface Seen {
  method: string;
  url: string;
  headers: IncomingHttpHeaders;
  body: string;
}

/** An answer of the lab's API. */
export interface Got {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
}

/** What the backend server does with a request. */
export type Behaviour = (seen: Seen, response: ServerResponse) => void;

/** The product on the platform. */
export interface Lab {
  operator: string;
  beats: string;
  ready: string;
  callers: string;
  /** Where the node shows its metrics. */
  metricsAddress: string;
  seen: Seen[];
  process: MustardcrossProcess;
  /** Replaces what the backend server does. */
  behave(behaviour: Behaviour): void;
  /** Announces the backend server. */
  beat(change?: Record<string, unknown>, id?: string): Promise<Got>;
  end(): Promise<void>;
}

/** Text of a settings file as the platform fills it in. */
export function settingsText(
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
export async function call(
  url: string,
  options: {
    method?: "GET" | "PUT" | "PATCH" | "POST" | "DELETE";
    headers?: Record<string, string>;
    body?: string;
  } = {},
): Promise<Got> {
  const answer = await request(url, { method: "GET", ...options });
  return {
    status: answer.statusCode,
    headers: answer.headers,
    body: await answer.body.text(),
  };
}

/** Answers as a sound server does. */
export const sound: Behaviour = (seen, response) => {
  const id = String(seen.headers["x-mustardcross-request-id"]);
  response.writeHead(200, {
    "x-mustardcross-request-id": id,
    "x-mustardcross-response-signature": `signed-${id}`,
    "x-mustardcross-server-load": "1,0,8,100",
  });
  response.end(`${seen.method} ${seen.url} ${seen.body}`);
};

function startServer(
  port: number,
  lab: { seen: Seen[]; behaviour: () => Behaviour },
): Promise<Server> {
  const server = createServer((incoming, response) => {
    if (incoming.url === "/health") {
      response.writeHead(200, {
        "x-mustardcross-instance-id": INSTANCE,
        "x-mustardcross-server-load": "0,0,8,100",
      });
      response.end();
      return;
    }
    let body = "";
    incoming.on("data", (part) => {
      body += part;
    });
    incoming.on("end", () => {
      const { method = "", url = "", headers } = incoming;
      const one = { method, url, headers, body };
      lab.seen.push(one);
      lab.behaviour()(one, response);
    });
  });
  return new Promise((resolve) =>
    server.listen(port, HOST, () => resolve(server))
  );
}

function settingsOf(text: string): PlatformSettings {
  return parsePlatformSettings("lab.toml", text)._unsafeUnwrap();
}

/** Starts everything; nothing is configured or announced yet. */
export async function startLab(
  logger: Logger = silentLogger,
): Promise<Lab> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-platform-"));
  const [rpc, controlMetrics] = await freeRange(2);
  const [peer, local] = await freeRange(2);
  const [operator, beats, ready, callers, server] = await freePorts(5);
  const seen: Seen[] = [];
  let behaviour = sound;
  const backend = await startServer(server, {
    seen,
    behaviour: () => behaviour,
  });
  const control = settingsOf(settingsText({
    ports: [rpc, controlMetrics],
    listen: `control = "${HOST}:${operator}"`,
    data: folder,
  }));
  const node = settingsOf(settingsText({
    ports: [peer, local],
    listen: `control = "${HOST}:${beats}"\nready = "${HOST}:${ready}"\n` +
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
  const lab: Lab = {
    operator: `http://${HOST}:${operator}`,
    beats: `http://${HOST}:${beats}`,
    ready: `http://${HOST}:${ready}`,
    callers: `http://${HOST}:${callers}`,
    metricsAddress: `${HOST}:${local}`,
    seen,
    process,
    behave(next) {
      behaviour = next;
    },
    beat: (change = {}, id = INSTANCE) =>
      call(`${lab.beats}/instances/${id}`, {
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
    async end() {
      await process.stop();
      backend.closeAllConnections();
      backend.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
  return lab;
}

/** A manifest with one service and its routes. */
export function manifest(
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

/** Puts a manifest. */
export function put(lab: Lab, text: string, ifMatch: string): Promise<Got> {
  return call(`${lab.operator}/config`, {
    method: "PUT",
    headers: { "if-match": ifMatch, "content-type": "application/json" },
    body: text,
  });
}

/** Starts a lab with a first manifest and an announced backend server. */
export async function startServingLab(logger?: Logger): Promise<Lab> {
  const lab = await startLab(logger);
  await eventually(
    "the first manifest is accepted",
    async () =>
      (await put(lab, manifest("00000002"), "00000000")).status === 200,
  );
  await lab.beat();
  await eventually("a call is answered", async () => {
    const got = await ask(lab, "/read/first");
    return got.status === 200;
  });
  return lab;
}

/** Sends a caller's request. */
export function ask(
  lab: Lab,
  path: string,
  options: {
    method?: "GET" | "POST";
    id?: string;
    host?: string;
    headers?: Record<string, string>;
    body?: string;
  } = {},
): Promise<Got> {
  return call(`${lab.callers}${path}`, {
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
