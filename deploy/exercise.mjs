/**
 * Runs the code paths of requests and of control before the build writes V8's
 * code cache. The cache holds only functions that are compiled by then; each
 * process has to compile all others after its start.
 *
 * Starts three control replicas, two nodes and their backend servers in this
 * process, on addresses of the loopback interface.
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

const NETWORK = "127.77.0";
const REPLICA_NUMBERS = [1, 2, 3];
const NODE_NUMBERS = [4, 5];
const ZONES = ["a", "b"];
const SERVICE = "work";
const ROUNDS = 250;
const READY_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 50;
const FIRST_PORT = 20_000;
const PORT_RANGE = 20_000;
const PORTS_PER_PROCESS = 8;

const firstPort = FIRST_PORT + (process.pid * PORTS_PER_PROCESS) % PORT_RANGE;
const [rpc, local, operator, ready, outbound, serverPort] = [0, 1, 2, 3, 4, 5]
  .map((index) => firstPort + index);

const silentLogger = {
  debug() {},
  info() {},
  warn() {},
  error() {},
  with: () => silentLogger,
};

function ipOf(number) {
  return `${NETWORK}.${number}`;
}

function formatSettings(number, data) {
  const seeds = REPLICA_NUMBERS.map((replica) =>
    `"${ipOf(replica)}:${operator}"`
  ).join(", ");
  const isNode = data === undefined;
  return `
vm = "vm${number}"
domain = "${ZONES[number % ZONES.length]}"
region = "r"
ip = "${ipOf(number)}"
cluster_ports = [${rpc}, ${local}]
seeds = [${seeds}]
domains = ["${ZONES.join('", "')}"]
bootstrap = true
${
    isNode
      ? `server_address = "${ipOf(number)}:${serverPort}"`
      : `data = "${data}"`
  }
${isNode ? `service = "${SERVICE}"` : ""}
[listen]
control = "${ipOf(number)}:${operator}"
${isNode ? `ready = "${ipOf(number)}:${ready}"` : ""}
${isNode ? `outbound = "${ipOf(number)}:${outbound}"` : ""}
[bounds]
grace = "1s"
config_apply = "2000ms"
retry_budget_ratio = 0.2
retry_budget_extra = 60
probes_per_s = 60
`;
}

function createRoute(name, kind) {
  return {
    type: "routes",
    metadata: { name },
    spec: {
      host: "exercise",
      path_prefix: `/${name}/`,
      kind,
      timeout: "800ms",
      target_latency: "200ms",
      priority: 1,
      service: SERVICE,
      max_attempts: 2,
    },
  };
}

const MANIFEST = {
  version: "00000001",
  resources: [
    createRoute("look", "idempotent"),
    createRoute("pay", "non_idempotent"),
    createRoute("drawing", "download"),
    {
      type: "services",
      metadata: { name: SERVICE },
      spec: {
        health_path: "/health",
        max_connections: 100,
        cold_start: "3s",
        cold_per_s: 40,
      },
    },
  ],
};

/** Makes a request and returns the status of its answer; 0 if there is none. */
function call(host, port, options) {
  const { method = "GET", path, headers = {}, body } = options;
  return new Promise((resolve) => {
    const sent = request({ host, port, method, path, headers }, (answer) => {
      answer.on("data", () => {});
      answer.on("error", () => resolve(0));
      answer.on("end", () => resolve(answer.statusCode));
    });
    sent.on("error", () => resolve(0));
    sent.end(body);
  });
}

function startBackendServer(number) {
  const server = createServer((incoming, response) => {
    incoming.resume();
    if (incoming.url === "/health") {
      response.writeHead(200, {
        "x-mustardcross-instance-id": `i${number}`,
        "x-mustardcross-cold-ms": "0",
        "x-mustardcross-server-load": "0,0,8,100",
      });
      response.end();
      return;
    }
    const id = String(incoming.headers["x-mustardcross-request-id"]);
    const size = incoming.url.startsWith("/drawing/") ? 150_000 : 500;
    response.writeHead(200, {
      "x-mustardcross-request-id": id,
      "x-mustardcross-response-signature": "s",
      "x-mustardcross-server-load": "1,0,8,100",
      "content-length": size,
    });
    setTimeout(() => response.end(Buffer.alloc(size)), 2);
  });
  server.listen(serverPort, ipOf(number));
  return server;
}

async function waitUntil(awaited, condition) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (!await condition()) {
    if (Date.now() > deadline) {
      throw new Error(`timed out waiting for ${awaited}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function sendHeartbeat(number, sequence) {
  return call(ipOf(number), operator, {
    method: "PUT",
    path: `/instances/i${number}`,
    body: JSON.stringify({
      service: SERVICE,
      address: `${ipOf(number)}:${serverPort}`,
      zone: ZONES[number % ZONES.length],
      version: "v1",
      slots: 8,
      state: "ready",
      cold_remaining: "0ms",
      seq: sequence,
      born: 1,
    }),
  });
}

async function makeCalls() {
  await waitUntil(
    "the manifest to be accepted",
    async () =>
      await call(ipOf(1), operator, {
        method: "PUT",
        path: "/config",
        headers: { "if-match": "00000000" },
        body: JSON.stringify(MANIFEST),
      }) === 200,
  );
  for (const number of NODE_NUMBERS) {
    await waitUntil(
      "a node to be ready",
      async () => await call(ipOf(number), ready, { path: "/" }) === 200,
    );
    await sendHeartbeat(number, 1);
  }
  for (let round = 0; round < ROUNDS; round++) {
    const number = NODE_NUMBERS[round % NODE_NUMBERS.length];
    await Promise.all(
      ["look", "pay", "drawing"].map((name) =>
        call(ipOf(number), outbound, {
          method: name === "pay" ? "POST" : "GET",
          path: `/${name}/${round}`,
          headers: {
            host: "exercise",
            "x-mustardcross-request-id": `${name}${round}`,
            "x-mustardcross-request-deadline-ms": "500",
          },
          body: name === "pay" ? "x".repeat(3_000) : undefined,
        })
      ),
    );
  }
  await sendHeartbeat(NODE_NUMBERS[0], 2);
  await call(ipOf(1), operator, { path: "/config" });
}

/** Starts the roles of a bundle, and makes calls that run most of its code. */
export async function exercise(product) {
  const { createPlatform, parsePlatformSettings, startProcess } = product;
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-exercise-"));
  const servers = NODE_NUMBERS.map(startBackendServer);

  async function startRole(number, role) {
    const data = role === "control" ? join(folder, String(number)) : undefined;
    const parsed = parsePlatformSettings(
      "exercise",
      formatSettings(number, data),
    );
    if (parsed.isErr()) {
      throw new Error(parsed.error);
    }
    const settings = parsed.value;
    return await startProcess(settings[role], {
      logger: silentLogger,
      platform: createPlatform(() => settings),
    });
  }

  const started = [];
  try {
    for (const number of REPLICA_NUMBERS) {
      started.push(await startRole(number, "control"));
    }
    for (const number of NODE_NUMBERS) {
      started.push(await startRole(number, "node"));
    }
    await makeCalls();
  } finally {
    servers.forEach((server) => server.close());
    rmSync(folder, { recursive: true, force: true });
  }
}
