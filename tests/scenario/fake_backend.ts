/**
 * Backend servers in memory, on a test's clock. A cold one is slow and falls
 * over under more work than it can bear.
 * @module
 */
import type { Random } from "../../src/core/random.ts";
import {
  type Backend,
  BackendError,
  type BackendFactory,
  type BackendFailure,
  type BackendRequest,
  type BackendVerdict,
} from "../../src/guard/backend.ts";
import type { Timer } from "../../src/time/timer.ts";

/** How a fake server works, and misbehaves. */
export interface FakeServerShape {
  slots: number;
  meanMs: number;
  /** Completions until it is warm. */
  coldCompletions: number;
  /** How many times slower it is when cold. */
  coldFactor: number;
  /** Requests at once that a cold server bears; more make it fall over. */
  coldBears: number;
  /** Whether its answers tell its load. */
  reports?: boolean;
}

/** One start of a request at a server. */
export interface Execution {
  at: number;
  server: string;
  requestId: string;
  key: string;
}

/** A fake backend server. */
export interface FakeServer {
  readonly vm: string;
  readonly boot: string;
  readonly up: boolean;
  readonly executions: Execution[];
  /** Most requests at once while it was cold. */
  readonly coldPeak: number;
  slowness: number;
  failStatus: number | undefined;
  /** It fails only once the work is done. */
  failsLate: boolean;
  /** Requests whose path holds this crash the server. */
  poison: string;
  /** Takes requests but never answers. */
  hangs: boolean;
  /** Answers that are cut in the middle of their body. */
  cutsBodies: boolean;
  /** Answers whose bodies begin, and then neither go on nor end. */
  endless: boolean;
  /** Whether its health checks are not answered. */
  checksHang: boolean;
  /** Whether its health check says that it leaves. */
  leaves: boolean;
  crash(): void;
  /** Starts again with a new boot. */
  start(): void;
  /** Loses its warmth without a new boot. */
  turnCold(): void;
  /** The client for its guard. */
  readonly factory: BackendFactory;
}

const REFUSE_MS = 0.2;
const HEALTH_PATH = "/health";
/** More than a guard sends as one frame. */
const BEGUN_BYTES = 100_000;
const NEVER_MS = 1e9;

function failure(kind: BackendFailure, peer: string): BackendError {
  return new BackendError(kind, { peer, message: kind });
}

/** Creates a fake server that is up and cold. */
export function createFakeServer(
  vm: string,
  options: { timer: Timer; random: Random; shape: FakeServerShape },
): FakeServer {
  const { timer, random, shape } = options;
  const executions: Execution[] = [];
  const open = new Set<() => void>();
  let boots = 1;
  let up = true;
  let completed = 0;
  let inFlight = 0;
  let coldPeak = 0;

  function isCold(): boolean {
    return completed < shape.coldCompletions;
  }

  function workMs(): number {
    const varied = 0.5 - 0.5 * Math.log(1 - random.fraction());
    const cold = isCold() ? shape.coldFactor : 1;
    const crowd = Math.max(1, inFlight / shape.slots) ** 2;
    return shape.meanMs * varied * cold * crowd * server.slowness;
  }

  function headerOf(request: BackendRequest, name: string): string {
    return request.headers.find(([key]) => key === name)?.[1] ?? "";
  }

  function crash(): void {
    up = false;
    inFlight = 0;
    for (const cut of [...open]) {
      cut();
    }
    open.clear();
  }

  function pause(ms: number, request: BackendRequest): Promise<void> {
    return new Promise((resolve, reject) => {
      const timeout = timer.after(ms, () => finish(resolve));
      const cut = (): void => finish(() => reject(failure("reset", vm)));
      const abort = (): void => finish(() => reject(failure("aborted", vm)));
      function finish(settle: () => void): void {
        timeout.cancel();
        open.delete(cut);
        release();
        settle();
      }
      open.add(cut);
      const release = request.signal.onCancel(abort);
    });
  }

  async function* bodyOf(
    text: string,
    request: BackendRequest,
  ): AsyncGenerator<Uint8Array> {
    await Promise.resolve();
    if (server.endless && request.path !== HEALTH_PATH) {
      yield new Uint8Array(BEGUN_BYTES);
      await pause(NEVER_MS, request);
    }
    const bytes = new TextEncoder().encode(text);
    if (server.cutsBodies) {
      yield bytes.subarray(0, 4);
      throw failure("reset", vm);
    }
    yield bytes;
  }

  async function run(request: BackendRequest): Promise<void> {
    inFlight++;
    const started = boots;
    if (isCold()) {
      coldPeak = Math.max(coldPeak, inFlight);
    }
    const overwhelmed = isCold() && inFlight > shape.coldBears;
    try {
      if (
        overwhelmed || (server.poison && request.path.includes(server.poison))
      ) {
        // It falls over shortly after, not at once.
        timer.after(1, crash);
      }
      await pause(server.hangs ? NEVER_MS : workMs(), request);
      completed++;
    } finally {
      if (started === boots) {
        inFlight = Math.max(0, inFlight - 1);
      }
    }
  }

  function verdict(): BackendVerdict {
    const { slots, reports } = shape;
    const { slowness } = server;
    return {
      instance: server.boot,
      coldMs: reports && !isCold() ? 0 : undefined,
      report: reports
        ? { running: inFlight, waiting: 0, slots, slowness }
        : undefined,
    };
  }

  async function send(request: BackendRequest) {
    if (!up) {
      await new Promise<void>((resolve) => timer.after(REFUSE_MS, resolve));
      throw failure("connect", vm);
    }
    if (request.path === HEALTH_PATH) {
      if (server.checksHang) {
        await pause(NEVER_MS, request);
      }
      return {
        status: server.leaves ? 503 : 200,
        headers: [],
        body: bodyOf("ok", request),
        verdict: verdict(),
      };
    }
    const requestId = headerOf(request, "mustardcross-request-id");
    executions.push({
      at: timer.now(),
      server: vm,
      requestId,
      key: headerOf(request, "idempotency-key"),
    });
    if (server.failStatus !== undefined) {
      if (server.failsLate) {
        await run(request);
      }
      return {
        status: server.failStatus,
        headers: [],
        body: bodyOf("failed", request),
      };
    }
    await run(request);
    return {
      status: 200,
      headers: [],
      body: bodyOf(`done ${requestId}`, request),
      verdict: shape.reports ? verdict() : undefined,
    };
  }

  const backend: Backend = { send, close: () => Promise.resolve() };
  const server: FakeServer = {
    vm,
    get boot() {
      return `${vm}-boot${boots}`;
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
    failsLate: false,
    poison: "",
    hangs: false,
    cutsBodies: false,
    endless: false,
    checksHang: false,
    leaves: false,
    crash,
    start() {
      crash();
      boots++;
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
