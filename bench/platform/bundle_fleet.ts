/**
 * Starts a small fleet of the deployed program: a control replica and nodes run
 * a build's bundle in processes of their own, and the backend servers run in
 * this process.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import {
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer, type IncomingMessage, type Server } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { request } from "undici";
import { findFreePorts } from "../../src/demo/ports.ts";

/** Loopback network of this process; each of its fleets has a subnet of it. */
const NETWORK = `127.${100 + process.pid % 100}`;
let fleetCount = 0;
const DOMAIN = "east";
const SERVICE = "lots";
/** Host name that the route matches. */
export const ROUTE_HOST = "lots.example";
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const HEARTBEAT_INTERVAL_MS = 1_500;
const ANSWER_BYTES = 5_000;
const US_PER_NS = 1e-3;
const EXIT_TIMEOUT_MS = 8_000;

/** Options of {@link startBundleFleet}. */
export interface BundleFleetOptions {
  /** Script that starts the program, such as the loader of a build's bundle. */
  program: string;
  /** Number of nodes, each with a backend server. */
  nodes: number;
  /** Concurrency limit that a backend server reports. */
  slots: number;
  /** Time that a backend server takes for a request, in milliseconds. */
  workMs: number;
  /** Flags of the Node.js runtime, for the nodes only. */
  nodeFlags?: readonly string[];
}

/** A running fleet, each node of which has served a call. */
export interface BundleFleet {
  /** Addresses where the nodes take callers' requests. */
  callers: string[];
  /**
   * Returns the processor time of all nodes since their start, in microseconds.
   */
  readProcessorUs(): number;
  /** Returns what the nodes have written to standard error. */
  errors(): string;
  /** Sends a signal to each node. */
  signal(name: NodeJS.Signals): void;
  /** Stops all processes; kills those that do not exit in time. */
  stop(): Promise<void>;
}

async function waitUntil(
  awaited: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (!await condition().catch(() => false)) {
    if (Date.now() > deadline) {
      throw new Error(`timed out waiting for ${awaited}`);
    }
    await pause(POLL_INTERVAL_MS);
  }
}

interface ProcessSettings {
  name: string;
  ip: string;
  ports: readonly number[];
  seed: string;
  listen: Record<string, string>;
  data?: string;
  server?: string;
}

function formatSettings(settings: ProcessSettings): string {
  const { name, ip, ports, seed, listen, data, server } = settings;
  const listenLines = Object.entries(listen)
    .map(([name, address]) => `${name} = "${address}"`);
  return [
    `vm = "${name}"`,
    `domain = "${DOMAIN}"`,
    `region = "south"`,
    `ip = "${ip}"`,
    `cluster_ports = [${ports.join(", ")}]`,
    `seeds = ["${seed}"]`,
    `domains = ["${DOMAIN}"]`,
    `bootstrap = true`,
    ...(data ? [`data = "${data}"`] : []),
    ...(server ? [`server_address = "${server}"`] : []),
    ...(server ? [`service = "${SERVICE}"`] : []),
    "[listen]",
    ...listenLines,
    "[bounds]",
    'grace = "6s"',
    'config_apply = "2000ms"',
    "retry_budget_ratio = 0.2",
    "retry_budget_extra = 60",
    "probes_per_s = 60",
    "",
  ].join("\n");
}

const MANIFEST = {
  version: "00000001",
  resources: [
    {
      type: "routes",
      metadata: { name: "look" },
      spec: {
        host: ROUTE_HOST,
        path_prefix: "/look/",
        kind: "idempotent",
        timeout: "1200ms",
        target_latency: "200ms",
        priority: 1,
        service: SERVICE,
        max_attempts: 2,
      },
    },
    {
      type: "services",
      metadata: { name: SERVICE },
      spec: {
        health_path: "/health",
        max_connections: 200,
        cold_start: "1s",
        cold_per_s: 500,
      },
    },
  ],
};

/** Address of a backend server. */
interface Endpoint {
  ip: string;
  port: number;
}

function startServer(
  { ip, port }: Endpoint,
  { slots, workMs }: BundleFleetOptions,
): Promise<Server> {
  const body = Buffer.alloc(ANSWER_BYTES, "x");
  let running = 0;
  function formatLoad(): string {
    return `${running},0,${slots},100`;
  }
  const server = createServer((incoming: IncomingMessage, response) => {
    incoming.resume();
    if (incoming.url === "/health") {
      response.writeHead(200, {
        "x-mustardcross-instance-id": `i-${ip}`,
        "x-mustardcross-cold-ms": "0",
        "x-mustardcross-server-load": formatLoad(),
        "content-length": 0,
      });
      response.end();
      return;
    }
    running++;
    setTimeout(() => {
      running--;
      response.writeHead(200, {
        "x-mustardcross-request-id": incoming
          .headers["x-mustardcross-request-id"],
        "x-mustardcross-response-signature": "signed",
        "x-mustardcross-server-load": formatLoad(),
        "content-length": body.length,
      });
      response.end(body);
    }, workMs);
  });
  return new Promise((resolve) =>
    server.listen(port, ip, () => resolve(server))
  );
}

/** Announces a backend server to its node. */
async function sendHeartbeat(
  control: string,
  { ip, port, slots, sequence }: Endpoint & { slots: number; sequence: number },
): Promise<void> {
  const answer = await request(`http://${control}/instances/i-${ip}`, {
    method: "PUT",
    body: JSON.stringify({
      service: SERVICE,
      address: `${ip}:${port}`,
      zone: DOMAIN,
      version: "v1",
      slots,
      state: "ready",
      cold_remaining: "0ms",
      seq: sequence,
      born: 1,
    }),
  });
  await answer.body.dump();
}

/** Returns the time for which all threads of a process ran, in microseconds. */
function readProcessorUsOf(pid: number): number {
  const folder = `/proc/${pid}/task`;
  const threadTimes = readdirSync(folder).map((thread) =>
    Number(readFileSync(`${folder}/${thread}/schedstat`, "utf8").split(" ")[0])
  );
  return threadTimes.reduce((sum, threadNs) => sum + threadNs, 0) * US_PER_NS;
}

/** Starts a fleet and waits until each node has served a call. */
export async function startBundleFleet(
  options: BundleFleetOptions,
): Promise<BundleFleet> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-bench-"));
  const network = `${NETWORK}.${++fleetCount}`;
  const [rpc, local, control, ready, outbound, app] = await findFreePorts(6);
  const ports = [rpc, local];
  const seed = `${network}.1:${control}`;
  let errors = "";
  const children: ChildProcess[] = [];
  const servers: Server[] = [];
  const heartbeatTimers: NodeJS.Timeout[] = [];

  function start(
    role: string,
    settings: Omit<ProcessSettings, "ports" | "seed">,
  ): ChildProcess {
    const file = join(folder, `${settings.name}.toml`);
    writeFileSync(file, formatSettings({ ...settings, ports, seed }));
    const flags = role === "node" ? options.nodeFlags ?? [] : [];
    const child = spawn(process.execPath, [
      "--max-old-space-size=160",
      ...flags,
      options.program,
      role,
      "--settings",
      file,
    ], { stdio: ["ignore", "ignore", "pipe"] });
    child.stderr?.on("data", (text) => {
      errors += role === "node" ? text : "";
    });
    children.push(child);
    return child;
  }

  async function stop(): Promise<void> {
    heartbeatTimers.forEach((timer) => clearInterval(timer));
    const ended = children.map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    children.forEach((child) => child.kill("SIGTERM"));
    await Promise.race([Promise.all(ended), pause(EXIT_TIMEOUT_MS)]);
    children.forEach((child) => child.kill("SIGKILL"));
    servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    rmSync(folder, { recursive: true, force: true });
  }

  /**
   * Starts a node and its backend server, and announces the server regularly.
   */
  async function startNode(ip: string): Promise<ChildProcess> {
    servers.push(await startServer({ ip, port: app }, options));
    const child = start("node", {
      name: `vm-${ip}`,
      ip,
      listen: {
        control: `${ip}:${control}`,
        ready: `${ip}:${ready}`,
        outbound: `${ip}:${outbound}`,
      },
      server: `${ip}:${app}`,
    });
    let sequence = 0;
    heartbeatTimers.push(setInterval(() => {
      const { slots } = options;
      sequence++;
      // A node that does not listen yet gets the next announcement.
      sendHeartbeat(`${ip}:${control}`, { ip, port: app, slots, sequence })
        .catch(() => {});
    }, HEARTBEAT_INTERVAL_MS));
    return child;
  }

  async function putManifest(): Promise<boolean> {
    const answer = await request(`http://${seed}/config`, {
      method: "PUT",
      headers: { "if-match": "00000000" },
      body: JSON.stringify(MANIFEST),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  }

  async function isServing(caller: string): Promise<boolean> {
    const answer = await request(`http://${caller}/look/first`, {
      headers: { host: ROUTE_HOST },
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  }

  try {
    start("control", {
      name: "c1",
      ip: `${network}.1`,
      listen: { control: seed },
      data: join(folder, "data"),
    });
    const ips = Array.from(
      { length: options.nodes },
      (_, index) => `${network}.${index + 2}`,
    );
    const nodes = await Promise.all(ips.map(startNode));
    const callers = ips.map((ip) => `${ip}:${outbound}`);
    await waitUntil("the manifest", putManifest);
    for (const caller of callers) {
      await waitUntil("a node", () => isServing(caller));
    }
    return {
      callers,
      readProcessorUs: () =>
        nodes.reduce((sum, { pid }) => sum + readProcessorUsOf(pid!), 0),
      errors: () => errors,
      signal: (name) => nodes.forEach((node) => node.kill(name)),
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}
