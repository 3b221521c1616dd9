/**
 * A small backend server for tests, benchmarks and the demo. It has slots, a
 * cold start, health and load endpoints that lag, drain, shedding,
 * cancellation and deadlines; it can be made slow, failing or crashing.
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { request as sendRequest } from "undici";
import { createSeededRandom } from "../core/random.ts";
import { splitAddress } from "../network/channel.ts";

/** Options of {@link startBackendServer}. */
export interface BackendServerOptions {
  service: string;
  /** Where to listen, `ip:port`. */
  address: string;
  /** Local address of the node on the same VM; none to stay unannounced. */
  nodeAddress?: string;
  seed: number;
  slots?: number;
  connections?: number;
  /** Mean time of one request in milliseconds. */
  meanMs?: number;
  /** Requests that a cold start takes to warm up. */
  coldRequests?: number;
  /** How many times slower a cold server is. */
  coldFactor?: number;
  /** Age of what health and load say, in milliseconds. */
  reportLagMs?: number;
  /** Interval of announcements in milliseconds. */
  announceMs?: number;
}

/** How a running stand-in misbehaves at present. */
export interface Behaviour {
  /** Answers every request at once with this status. */
  failStatus: number | undefined;
  /** Multiple of the usual time. */
  slowness: number;
  /** Path part that makes the server crash. */
  poison: string;
}

/** A running stand-in. */
export interface BackendServer {
  readonly address: string;
  readonly behaviour: Behaviour;
  /** Requests started, by idempotency key or else by path. */
  readonly runs: Map<string, number>;
  /** Most requests that were in flight at once. */
  readonly peak: number;
  readonly inFlight: number;
  /** Forgets its warmth without a new boot. */
  turnCold(): void;
  /** Leaves gracefully: tells its node, then stops. */
  leave(): Promise<void>;
  /** Stops at once, cutting everything. */
  crash(): void;
}

const ANNOUNCE_MS = 500;
const DEFAULT_LAG_MS = 100;

interface Report {
  at: number;
  inFlight: number;
}

/** Starts a stand-in and announces it. */
export async function startBackendServer(
  options: BackendServerOptions,
): Promise<BackendServer> {
  const random = createSeededRandom(options.seed);
  const boot = random.identifier() + Date.now().toString(16);
  const slots = options.slots ?? 12;
  const meanMs = options.meanMs ?? 5;
  const coldRequests = options.coldRequests ?? 0;
  const coldFactor = options.coldFactor ?? 4;
  const lagMs = options.reportLagMs ?? DEFAULT_LAG_MS;
  const behaviour: Behaviour = {
    failStatus: undefined,
    slowness: 1,
    poison: "",
  };
  const runs = new Map<string, number>();
  const reports: Report[] = [];
  let inFlight = 0;
  let peak = 0;
  let completed = 0;
  let sequence = 0;
  let draining = false;
  let address = options.address;

  function workMs(): number {
    const cold = completed < coldRequests ? coldFactor : 1;
    const varied = -Math.log(1 - random.fraction()) * 0.5 + 0.5;
    return meanMs * varied * cold * behaviour.slowness;
  }

  /** What an observer sees who is always late. */
  function lateReport(): Report {
    const until = Date.now() - lagMs;
    while (reports.length > 1 && reports[1].at <= until) {
      reports.shift();
    }
    return reports[0] ?? { at: until, inFlight: 0 };
  }

  function note(): void {
    peak = Math.max(peak, inFlight);
    reports.push({ at: Date.now(), inFlight });
  }

  function respond(
    response: ServerResponse,
    answer: {
      status: number;
      body: string | Buffer;
      headers?: Record<string, string>;
    },
  ): void {
    response.writeHead(answer.status, {
      "content-type": "text/plain",
      "content-length": Buffer.byteLength(answer.body),
      ...answer.headers,
    });
    response.end(answer.body);
  }

  function serveReport(path: string, response: ServerResponse): boolean {
    if (path === "/health") {
      respond(response, { status: 200, body: "ok\n" });
      return true;
    }
    if (path === "/load") {
      const body = JSON.stringify(lateReport());
      respond(response, { status: 200, body });
      return true;
    }
    return false;
  }

  async function bodyOf(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request) {
      parts.push(part);
    }
    return Buffer.concat(parts);
  }

  function bodyFor(url: URL, body: Buffer): Buffer {
    const size = Number(url.searchParams.get("bytes") ?? 0);
    if (size > 0) {
      return Buffer.alloc(size, "v");
    }
    const echo = body.length > 0 ? ` ${body.toString("utf8")}` : "";
    return Buffer.from(`${options.service} ${url.pathname}${echo}\n`);
  }

  async function serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? "/", "http://standin");
    if (serveReport(url.pathname, response)) {
      return;
    }
    if (behaviour.poison && url.pathname.includes(behaviour.poison)) {
      crash();
      return;
    }
    if (behaviour.failStatus) {
      respond(response, { status: behaviour.failStatus, body: "failing\n" });
      return;
    }
    if (inFlight >= slots || draining) {
      respond(response, {
        status: 503,
        body: "shed\n",
        headers: { "retry-after": "1" },
      });
      return;
    }
    const key = String(request.headers["idempotency-key"] ?? url.pathname);
    runs.set(key, (runs.get(key) ?? 0) + 1);
    inFlight++;
    note();
    const asked = Number(url.searchParams.get("ms") ?? 0);
    const deadlineMs = Number(request.headers["mustardcross-timeout-ms"]);
    const body = await bodyOf(request).catch((error) => {
      inFlight--;
      note();
      throw error;
    });
    const work = asked > 0 ? asked : workMs();
    const limit = Number.isFinite(deadlineMs) && deadlineMs > 0
      ? deadlineMs
      : Infinity;
    await new Promise<void>((resolve) => {
      const timeout = setTimeout(resolve, Math.min(work, limit));
      response.once("close", () => {
        clearTimeout(timeout);
        resolve();
      });
    });
    inFlight--;
    completed++;
    note();
    if (work > limit) {
      respond(response, { status: 504, body: "past its deadline\n" });
      return;
    }
    respond(response, { status: 200, body: bodyFor(url, body) });
  }

  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.maxConnections = options.connections ?? 240;
  const { host, port } = splitAddress(options.address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, resolve);
  });
  const bound = server.address();
  address = `${host}:${typeof bound === "object" && bound ? bound.port : port}`;

  async function tellNode(path: string, body: unknown): Promise<boolean> {
    try {
      const answer = await sendRequest(`http://${options.nodeAddress}${path}`, {
        method: "POST",
        body: JSON.stringify(body),
      });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }

  function announce(): Promise<boolean> {
    sequence++;
    return tellNode("/announce", {
      service: options.service,
      address,
      boot,
      sequence,
      health_path: "/health",
    });
  }

  const announcing = options.nodeAddress
    ? setInterval(() => void announce(), options.announceMs ?? ANNOUNCE_MS)
    : undefined;
  if (options.nodeAddress) {
    await announce();
  }

  function crash(): void {
    clearInterval(announcing);
    server.close();
    server.closeAllConnections();
  }

  return {
    get address() {
      return address;
    },
    behaviour,
    runs,
    get peak() {
      return peak;
    },
    get inFlight() {
      return inFlight;
    },
    turnCold() {
      completed = 0;
    },
    async leave() {
      clearInterval(announcing);
      if (options.nodeAddress) {
        await tellNode("/leave", { boot });
      }
      draining = true;
      await new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      });
    },
    crash,
  };
}
