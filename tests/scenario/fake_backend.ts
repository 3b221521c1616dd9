/**
 * Fake backend servers in simulated time. A cold server is slow, and crashes
 * under more concurrent requests than it can run.
 * @module
 */
import type { Random } from "../../src/core/random.ts";
import {
  type AnswerMetadata,
  type Backend,
  BackendError,
  type BackendFactory,
  type BackendFailure,
  type BackendRequest,
} from "../../src/guard/backend.ts";
import type { Timer } from "../../src/time/timer.ts";

/** Capacity and speed of a fake server. */
export interface FakeServerShape {
  slots: number;
  meanMs: number;
  /** Requests that a cold server has to complete to be warm. */
  coldCompletions: number;
  /** Factor by which work takes longer on a cold server. */
  coldFactor: number;
  /** Concurrent requests that a cold server can run; more crash it. */
  coldConcurrencyLimit: number;
  /** Whether its answers report its load. */
  reportsLoad?: boolean;
}

/** The start of a request at a server. */
export interface Execution {
  at: number;
  server: string;
  requestId: string;
  key: string;
  /** Length of the request's body, once it has been read. */
  bodyLength: number;
}

/** A fake backend server. */
export interface FakeServer {
  readonly vm: string;
  readonly boot: string;
  readonly up: boolean;
  readonly executions: Execution[];
  /** Greatest number of concurrent requests while it was cold. */
  readonly coldPeak: number;
  slowness: number;
  failStatus: number | undefined;
  /** Whether it does the work before it answers with `failStatus`. */
  failsAfterRun: boolean;
  /** Requests whose path contains this text crash the server. */
  crashingPath: string;
  /** Whether it accepts requests but never answers. */
  hangs: boolean;
  /** Whether it resets connections in the middle of the answer's body. */
  truncatesBodies: boolean;
  /** Whether its answers' bodies begin, but neither continue nor end. */
  neverEndsBodies: boolean;
  /** Whether it leaves health checks unanswered. */
  healthChecksHang: boolean;
  /** Whether its answers say that it leaves. */
  saysLeaving: boolean;
  /** Requests a second that its answers name as its limit, if it has one. */
  requestsPerS: number | undefined;
  /** Whether it answers health checks with status 503, as it is leaving. */
  reportsLeaving: boolean;
  crash(): void;
  /** Restarts with a new boot. */
  start(): void;
  /** Makes it cold again without a new boot. */
  turnCold(): void;
  /** Creates the client through which a guard reaches it. */
  readonly factory: BackendFactory;
}

const CONNECTION_REFUSED_AFTER_MS = 0.2;
const HEALTH_PATH = "/health";
/** Larger than what a guard sends in one frame. */
const ENDLESS_BODY_START_BYTES = 100_000;
const NEVER_MS = 1e9;

function createError(kind: BackendFailure, peer: string): BackendError {
  return new BackendError(kind, { peer, message: kind });
}

/** Creates a fake server that is running and cold. */
export function createFakeServer(
  vm: string,
  options: { timer: Timer; random: Random; shape: FakeServerShape },
): FakeServer {
  const { timer, random, shape } = options;
  const executions: Execution[] = [];
  const openConnections = new Set<() => void>();
  let bootCount = 1;
  let up = true;
  let completed = 0;
  let inFlight = 0;
  let coldPeak = 0;

  function isCold(): boolean {
    return completed < shape.coldCompletions;
  }

  function drawWorkMs(): number {
    const variation = 0.5 - 0.5 * Math.log(1 - random.fraction());
    const coldSlowness = isCold() ? shape.coldFactor : 1;
    const contention = Math.max(1, inFlight / shape.slots) ** 2;
    return shape.meanMs * variation * coldSlowness * contention *
      server.slowness;
  }

  function headerOf(request: BackendRequest, name: string): string {
    return request.headers.find(([key]) => key === name)?.[1] ?? "";
  }

  function crash(): void {
    up = false;
    inFlight = 0;
    for (const reset of [...openConnections]) {
      reset();
    }
    openConnections.clear();
  }

  function waitFor(ms: number, request: BackendRequest): Promise<void> {
    return new Promise((resolve, reject) => {
      const timeout = timer.after(ms, () => finish(resolve));
      const reset = (): void => finish(() => reject(createError("reset", vm)));
      const abort = (): void =>
        finish(() => reject(createError("aborted", vm)));
      function finish(settle: () => void): void {
        timeout.cancel();
        openConnections.delete(reset);
        release();
        settle();
      }
      openConnections.add(reset);
      const release = request.signal.onCancel(abort);
    });
  }

  /** Reads a body that is streamed; a whole one is there already. */
  async function readBody(
    { body }: BackendRequest,
    execution: Execution,
  ): Promise<void> {
    if (body === undefined || body instanceof Uint8Array) {
      execution.bodyLength = body?.length ?? 0;
      return;
    }
    for await (const chunk of body) {
      execution.bodyLength += chunk.length;
    }
  }

  async function* createBody(
    text: string,
    request: BackendRequest,
  ): AsyncGenerator<Uint8Array> {
    await Promise.resolve();
    if (server.neverEndsBodies && request.path !== HEALTH_PATH) {
      yield new Uint8Array(ENDLESS_BODY_START_BYTES);
      await waitFor(NEVER_MS, request);
    }
    const bytes = new TextEncoder().encode(text);
    if (server.truncatesBodies) {
      yield bytes.subarray(0, 4);
      throw createError("reset", vm);
    }
    yield bytes;
  }

  async function run(request: BackendRequest): Promise<void> {
    inFlight++;
    const bootAtStart = bootCount;
    if (isCold()) {
      coldPeak = Math.max(coldPeak, inFlight);
    }
    const overloaded = isCold() && inFlight > shape.coldConcurrencyLimit;
    try {
      if (
        overloaded ||
        (server.crashingPath && request.path.includes(server.crashingPath))
      ) {
        // The crash comes 1 ms later, while the request runs.
        timer.after(1, crash);
      }
      await waitFor(server.hangs ? NEVER_MS : drawWorkMs(), request);
      completed++;
    } finally {
      if (bootAtStart === bootCount) {
        inFlight = Math.max(0, inFlight - 1);
      }
    }
  }

  function createMetadata(): AnswerMetadata {
    const { slots, reportsLoad } = shape;
    const { slowness } = server;
    return {
      instance: server.boot,
      leaving: server.saysLeaving,
      requestsPerS: server.requestsPerS,
      coldMs: reportsLoad && !isCold() ? 0 : undefined,
      report: reportsLoad
        ? { running: inFlight, waiting: 0, slots, slowness }
        : undefined,
    };
  }

  async function send(request: BackendRequest) {
    if (!up) {
      await new Promise<void>((resolve) =>
        timer.after(CONNECTION_REFUSED_AFTER_MS, resolve)
      );
      throw createError("connect", vm);
    }
    if (request.path === HEALTH_PATH) {
      if (server.healthChecksHang) {
        await waitFor(NEVER_MS, request);
      }
      return {
        status: server.reportsLeaving ? 503 : 200,
        headers: [],
        body: createBody("ok", request),
        metadata: createMetadata(),
      };
    }
    const requestId = headerOf(request, "mustardcross-request-id");
    const execution: Execution = {
      at: timer.now(),
      server: vm,
      requestId,
      key: headerOf(request, "idempotency-key"),
      bodyLength: 0,
    };
    executions.push(execution);
    await readBody(request, execution);
    if (server.failStatus !== undefined) {
      if (server.failsAfterRun) {
        await run(request);
      }
      return {
        status: server.failStatus,
        headers: [],
        body: createBody("failed", request),
      };
    }
    await run(request);
    return {
      status: 200,
      headers: [],
      body: createBody(`done ${requestId}`, request),
      metadata: shape.reportsLoad ? createMetadata() : undefined,
    };
  }

  const backend: Backend = { send, close: () => Promise.resolve() };
  const server: FakeServer = {
    vm,
    get boot() {
      return `${vm}-boot${bootCount}`;
    },
    get up() {
      return up;
    },
    executions,
    get coldPeak() {
      return coldPeak;
    },
    slowness: 1,
    failStatus: undefined,
    failsAfterRun: false,
    crashingPath: "",
    hangs: false,
    truncatesBodies: false,
    neverEndsBodies: false,
    healthChecksHang: false,
    saysLeaving: false,
    requestsPerS: undefined,
    reportsLeaving: false,
    crash,
    start() {
      crash();
      bootCount++;
      completed = 0;
      up = true;
    },
    turnCold() {
      completed = 0;
    },
    factory: () => backend,
  };
  return server;
}
