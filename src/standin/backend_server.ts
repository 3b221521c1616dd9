/**
 * A stand-in backend server for tests, benchmarks and the demo. It limits its
 * concurrency to its slots, sheds what exceeds them, is slower while cold,
 * serves a health check and a delayed load report, ends work early for
 * cancelled requests and passed deadlines, and drains before it stops. Faults
 * can be injected: slowness, error answers and crashes. The query parameters
 * `ms` and `bytes` of a request set how long it takes and how large its answer
 * is.
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
  /** Address to listen at, as `ip:port`; port 0 takes any free port. */
  address: string;
  /**
   * Local address of the node on the same VM, which the server announces itself
   * to. Without it, the server is not announced.
   */
  nodeAddress?: string;
  seed: number;
  /** Concurrency limit: requests beyond it are shed. */
  slots?: number;
  /** Limit of open connections. */
  connections?: number;
  /** Mean time of one request on a warm server, in milliseconds. */
  meanMs?: number;
  /** Requests that a cold server completes before it is warm. */
  coldRequests?: number;
  /** Factor by which requests take longer on a cold server. */
  coldFactor?: number;
  /** Delay of the load report, in milliseconds. */
  reportLagMs?: number;
  /** Interval of announcements, in milliseconds. */
  announceMs?: number;
}

/** Faults of a running server. They may be changed at any time. */
export interface InjectedFaults {
  /** Status with which the server answers every request at once, if set. */
  failStatus: number | undefined;
  /** Factor by which requests take longer. */
  slowness: number;
  /** Text in a request's path on which the server crashes; empty for none. */
  poison: string;
}

/** A running stand-in backend server. */
export interface BackendServer {
  readonly address: string;
  readonly faults: InjectedFaults;
  /** Number of requests started, by idempotency key or else by path. */
  readonly runs: Map<string, number>;
  /** Highest number of requests in flight at once. */
  readonly peak: number;
  readonly inFlight: number;
  /** Makes the server cold again, without a restart that its node could see. */
  resetWarmUp(): void;
  /**
   * Reports the leave to the node, finishes requests in flight, and stops.
   */
  leave(): Promise<void>;
  /**
   * Stops at once and closes all connections, also those with open requests.
   */
  crash(): void;
}

const ANNOUNCE_MS = 500;
const DEFAULT_REPORT_LAG_MS = 100;

interface LoadReport {
  at: number;
  inFlight: number;
}

/** Starts a stand-in backend server and announces it to its node, if any. */
export async function startBackendServer(
  options: BackendServerOptions,
): Promise<BackendServer> {
  const random = createSeededRandom(options.seed);
  const boot = random.identifier() + Date.now().toString(16);
  const slots = options.slots ?? 12;
  const meanMs = options.meanMs ?? 5;
  const coldRequests = options.coldRequests ?? 0;
  const coldFactor = options.coldFactor ?? 4;
  const reportLagMs = options.reportLagMs ?? DEFAULT_REPORT_LAG_MS;
  const faults: InjectedFaults = {
    failStatus: undefined,
    slowness: 1,
    poison: "",
  };
  const runs = new Map<string, number>();
  const reports: LoadReport[] = [];
  let inFlight = 0;
  let peak = 0;
  let completed = 0;
  let sequence = 0;
  let draining = false;
  let address = options.address;

  function sampleWorkMs(): number {
    const warmUpFactor = completed < coldRequests ? coldFactor : 1;
    const variation = -Math.log(1 - random.fraction()) * 0.5 + 0.5;
    return meanMs * variation * warmUpFactor * faults.slowness;
  }

  /**
   * Returns the newest report that is at least `reportLagMs` old, or the oldest
   * report if all are newer.
   */
  function delayedReport(): LoadReport {
    const until = Date.now() - reportLagMs;
    while (reports.length > 1 && reports[1].at <= until) {
      reports.shift();
    }
    return reports[0] ?? { at: until, inFlight: 0 };
  }

  function recordInFlight(): void {
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

  /**
   * Answers a health check or a request for the load report. Returns `false`
   * for any other path.
   */
  function serveReport(path: string, response: ServerResponse): boolean {
    if (path === "/health") {
      respond(response, { status: 200, body: "ok\n" });
      return true;
    }
    if (path === "/load") {
      const body = JSON.stringify(delayedReport());
      respond(response, { status: 200, body });
      return true;
    }
    return false;
  }

  async function readBody(request: IncomingMessage): Promise<Buffer> {
    const parts: Buffer[] = [];
    for await (const part of request) {
      parts.push(part);
    }
    return Buffer.concat(parts);
  }

  function createBody(url: URL, body: Buffer): Buffer {
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
    if (faults.poison && url.pathname.includes(faults.poison)) {
      crash();
      return;
    }
    if (faults.failStatus) {
      respond(response, { status: faults.failStatus, body: "failing\n" });
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
    recordInFlight();
    const requestedMs = Number(url.searchParams.get("ms") ?? 0);
    const headerTimeoutMs = Number(request.headers["mustardcross-timeout-ms"]);
    const body = await readBody(request).catch((error) => {
      inFlight--;
      recordInFlight();
      throw error;
    });
    const workMs = requestedMs > 0 ? requestedMs : sampleWorkMs();
    const timeoutMs = Number.isFinite(headerTimeoutMs) && headerTimeoutMs > 0
      ? headerTimeoutMs
      : Infinity;
    await new Promise<void>((resolve) => {
      const workTimer = setTimeout(resolve, Math.min(workMs, timeoutMs));
      response.once("close", () => {
        clearTimeout(workTimer);
        resolve();
      });
    });
    inFlight--;
    completed++;
    recordInFlight();
    if (workMs > timeoutMs) {
      respond(response, { status: 504, body: "past its deadline\n" });
      return;
    }
    respond(response, { status: 200, body: createBody(url, body) });
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

  async function postToNode(path: string, body: unknown): Promise<boolean> {
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
    return postToNode("/announce", {
      service: options.service,
      address,
      boot,
      sequence,
      health_path: "/health",
    });
  }

  const announceTimer = options.nodeAddress
    ? setInterval(() => void announce(), options.announceMs ?? ANNOUNCE_MS)
    : undefined;
  if (options.nodeAddress) {
    await announce();
  }

  function crash(): void {
    clearInterval(announceTimer);
    server.close();
    server.closeAllConnections();
  }

  return {
    get address() {
      return address;
    },
    faults,
    runs,
    get peak() {
      return peak;
    },
    get inFlight() {
      return inFlight;
    },
    resetWarmUp() {
      completed = 0;
    },
    async leave() {
      clearInterval(announceTimer);
      if (options.nodeAddress) {
        await postToNode("/leave", { boot });
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
