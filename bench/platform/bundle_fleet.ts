/**
 * A small fleet of the deployed program: a control replica and nodes as
 * processes of a build's bundle, with backend servers in this process.
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
import { freePorts } from "../../src/demo/ports.ts";

/** Fleets of one run stand beside each other, each in a network of its own. */
const NETWORK = `127.${100 + process.pid % 100}`;
let fleets = 0;
const DOMAIN = "east";
const SERVICE = "lots";
/** Host name of the routes. */
export const ROUTE_HOST = "lots.example";
const WAIT_MS = 20_000;
const RETRY_MS = 100;
const BEAT_MS = 1_500;
const ANSWER_BYTES = 5_000;
const MICROSECONDS_PER_NS = 1e-3;
const EXIT_WAIT_MS = 8_000;

/** What a fleet is made of. */
export interface BundleFleetOptions {
  /** Script that starts the program, such as a build's bundle. */
  program: string;
  nodes: number;
  /** Requests that a backend server runs at once. */
  slots: number;
  /** Time of a request at a backend server, in milliseconds. */
  workMs: number;
  /** Flags of the runtime of the nodes. */
  nodeFlags?: readonly string[];
}

/** A fleet that serves. */
export interface BundleFleet {
  /** Addresses where nodes take calls. */
  callers: string[];
  /** Processor time of all nodes so far, in microseconds. */
  processorUs(): number;
  /** What the nodes have written to standard error. */
  errors(): string;
  /** Sends a signal to the nodes. */
  signal(name: NodeJS.Signals): void;
  /** Ends the processes; resolves once the nodes have. */
  stop(): Promise<void>;
}

async function until(
  what: string,
  condition: () => Promise<boolean>,
): Promise<void> {
  const end = Date.now() + WAIT_MS;
  while (!await condition().catch(() => false)) {
    if (Date.now() > end) {
      throw new Error(`${what} took too long`);
    }
    await pause(RETRY_MS);
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

function settingsText(settings: ProcessSettings): string {
  const { name, ip, ports, seed, listen, data, server } = settings;
  const listening = Object.entries(listen)
    .map(([what, address]) => `${what} = "${address}"`);
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
    ...listening,
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

/** An address as host and port. */
interface Place {
  ip: string;
  port: number;
}

function startServer(
  { ip, port }: Place,
  { slots, workMs }: BundleFleetOptions,
): Promise<Server> {
  const body = Buffer.alloc(ANSWER_BYTES, "x");
  let running = 0;
  function load(): string {
    return `${running},0,${slots},100`;
  }
  const server = createServer((incoming: IncomingMessage, response) => {
    incoming.resume();
    if (incoming.url === "/health") {
      response.writeHead(200, {
        "x-mustardcross-instance-id": `i-${ip}`,
        "x-mustardcross-cold-ms": "0",
        "x-mustardcross-server-load": load(),
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
        "x-mustardcross-server-load": load(),
        "content-length": body.length,
      });
      response.end(body);
    }, workMs);
  });
  return new Promise((resolve) =>
    server.listen(port, ip, () => resolve(server))
  );
}

/** Announces the backend server at a place to its node. */
async function beat(
  control: string,
  { ip, port, slots, sequence }: Place & { slots: number; sequence: number },
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

/** Time for which all threads of a process ran, in microseconds. */
function processorUsOf(pid: number): number {
  const folder = `/proc/${pid}/task`;
  const ns = readdirSync(folder).map((thread) =>
    Number(readFileSync(`${folder}/${thread}/schedstat`, "utf8").split(" ")[0])
  );
  return ns.reduce((sum, one) => sum + one, 0) * MICROSECONDS_PER_NS;
}

/** Starts a fleet, and waits until each node serves a call. */
export async function startBundleFleet(
  options: BundleFleetOptions,
): Promise<BundleFleet> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-bench-"));
  const network = `${NETWORK}.${++fleets}`;
  const [rpc, local, control, ready, outbound, app] = await freePorts(6);
  const ports = [rpc, local];
  const seed = `${network}.1:${control}`;
  let errors = "";
  const children: ChildProcess[] = [];
  const servers: Server[] = [];
  const beats: NodeJS.Timeout[] = [];

  function start(
    role: string,
    settings: Omit<ProcessSettings, "ports" | "seed">,
  ): ChildProcess {
    const file = join(folder, `${settings.name}.toml`);
    writeFileSync(file, settingsText({ ...settings, ports, seed }));
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
    beats.forEach((one) => clearInterval(one));
    const ended = children.map((child) =>
      new Promise((resolve) => child.once("exit", resolve))
    );
    children.forEach((child) => child.kill("SIGTERM"));
    await Promise.race([Promise.all(ended), pause(EXIT_WAIT_MS)]);
    children.forEach((child) => child.kill("SIGKILL"));
    servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
    rmSync(folder, { recursive: true, force: true });
  }

  /** Starts a node with its backend server, which announces itself. */
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
    beats.push(setInterval(() => {
      const { slots } = options;
      sequence++;
      // A node that is not there yet hears of it the next time.
      beat(`${ip}:${control}`, { ip, port: app, slots, sequence })
        .catch(() => {});
    }, BEAT_MS));
    return child;
  }

  async function acceptManifest(): Promise<boolean> {
    const answer = await request(`http://${seed}/config`, {
      method: "PUT",
      headers: { "if-match": "00000000" },
      body: JSON.stringify(MANIFEST),
    });
    await answer.body.dump();
    return answer.statusCode === 200;
  }

  async function serves(caller: string): Promise<boolean> {
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
    await until("the manifest", acceptManifest);
    for (const caller of callers) {
      await until("a node", () => serves(caller));
    }
    return {
      callers,
      processorUs: () =>
        nodes.reduce((sum, { pid }) => sum + processorUsOf(pid!), 0),
      errors: () => errors,
      signal: (name) => nodes.forEach((node) => node.kill(name)),
      stop,
    };
  } catch (error) {
    await stop();
    throw error;
  }
}
