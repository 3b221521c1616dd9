/**
 * Runs the code of a request and of control once, before a build writes V8's
 * cache of compiled code: the cache holds what has been compiled until then,
 * and whatever it lacks is compiled again by each process after its start.
 *
 * Three control replicas, two nodes and their backend servers, all in this
 * process, on addresses of the loopback interface.
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";

const NETWORK = "127.77.0";
const REPLICAS = [1, 2, 3];
const NODES = [4, 5];
const ZONES = ["a", "b"];
const SERVICE = "work";
const ROUNDS = 250;
const WAIT_MS = 10_000;
const RETRY_MS = 50;
const FIRST_PORT = 20_000;
const PORT_RANGE = 20_000;
const PORTS = 8;

const base = FIRST_PORT + (process.pid * PORTS) % PORT_RANGE;
const [rpc, local, operator, ready, callers, app] = [0, 1, 2, 3, 4, 5]
  .map((index) => base + index);

const silent = {
  debug() {},
  info() {},
  warn() {},
  error() {},
  with: () => silent,
};

function ip(number) {
  return `${NETWORK}.${number}`;
}

function settingsText(number, data) {
  const seeds = REPLICAS.map((one) => `"${ip(one)}:${operator}"`).join(", ");
  const node = data === undefined;
  return `
vm = "vm${number}"
domain = "${ZONES[number % ZONES.length]}"
region = "r"
ip = "${ip(number)}"
cluster_ports = [${rpc}, ${local}]
seeds = [${seeds}]
domains = ["${ZONES.join('", "')}"]
bootstrap = true
${node ? `server_address = "${ip(number)}:${app}"` : `data = "${data}"`}
${node ? `service = "${SERVICE}"` : ""}
[listen]
control = "${ip(number)}:${operator}"
${node ? `ready = "${ip(number)}:${ready}"` : ""}
${node ? `outbound = "${ip(number)}:${callers}"` : ""}
[bounds]
grace = "1s"
config_apply = "2000ms"
retry_budget_ratio = 0.2
retry_budget_extra = 60
probes_per_s = 60
`;
}

function route(name, kind) {
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
    route("look", "idempotent"),
    route("pay", "non_idempotent"),
    route("drawing", "download"),
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

/** Makes a call and returns its status; 0 if there was no answer. */
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

function startServer(number) {
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
  server.listen(app, ip(number));
  return server;
}

async function until(what, condition) {
  const end = Date.now() + WAIT_MS;
  while (!await condition()) {
    if (Date.now() > end) {
      throw new Error(`${what} took too long`);
    }
    await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
  }
}

function beat(number, sequence) {
  return call(ip(number), operator, {
    method: "PUT",
    path: `/instances/i${number}`,
    body: JSON.stringify({
      service: SERVICE,
      address: `${ip(number)}:${app}`,
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

async function serve() {
  await until("the manifest", async () =>
    await call(ip(1), operator, {
      method: "PUT",
      path: "/config",
      headers: { "if-match": "00000000" },
      body: JSON.stringify(MANIFEST),
    }) === 200);
  for (const number of NODES) {
    await until(
      "a node",
      async () => await call(ip(number), ready, { path: "/" }) === 200,
    );
    await beat(number, 1);
  }
  for (let round = 0; round < ROUNDS; round++) {
    const number = NODES[round % NODES.length];
    await Promise.all(
      ["look", "pay", "drawing"].map((name) =>
        call(ip(number), callers, {
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
  await beat(NODES[0], 2);
  await call(ip(1), operator, { path: "/config" });
}

/** Runs the product, as a bundle exports it, for a moment. */
export async function exercise(product) {
  const { createPlatform, parsePlatformSettings, startProcess } = product;
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-exercise-"));
  const servers = NODES.map(startServer);

  async function start(number, role) {
    const data = role === "control" ? join(folder, String(number)) : undefined;
    const parsed = parsePlatformSettings(
      "exercise",
      settingsText(number, data),
    );
    if (parsed.isErr()) {
      throw new Error(parsed.error);
    }
    const settings = parsed.value;
    return await startProcess(settings[role], {
      logger: silent,
      platform: createPlatform(() => settings),
    });
  }

  const started = [];
  try {
    for (const number of REPLICAS) {
      started.push(await start(number, "control"));
    }
    for (const number of NODES) {
      started.push(await start(number, "node"));
    }
    await serve();
  } finally {
    servers.forEach((server) => server.close());
    rmSync(folder, { recursive: true, force: true });
  }
}
