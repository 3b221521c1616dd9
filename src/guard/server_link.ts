/**
 * The backend server that announced itself on this VM: which boot it is, how to
 * reach it, and whether it answers.
 * @module
 */
import { createCanceller } from "../core/cancellation.ts";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Timer } from "../time/timer.ts";
import { readAway } from "./answer_body.ts";
import {
  type Backend,
  type BackendAnswer,
  BackendError,
  type BackendFactory,
  type BackendVerdict,
  type ServerReport,
} from "./backend.ts";

/** A backend server as it announced itself. */
export interface Announcement {
  service: string;
  address: string;
  boot: string;
  /** Rises with each announcement of a boot. */
  sequence: number;
  healthPath: string;
  /** Instance by which the server knows itself; empty if it has none. */
  instance?: string;
  /** Unix time of its start in milliseconds, if it tells. */
  startedAt?: number;
  /** Requests that it runs at once, if it tells. */
  slots?: number;
  /** Time for which it stays cold in milliseconds, if it tells. */
  coldMs?: number;
}

/** What an announcement means. */
export type AnnouncementResult = "new" | "renewed" | "repeated" | "outdated";

/**
 * What a health check shows of a backend server. `unknown`: it did not answer in
 * time, since it, or this process, is late; that is no proof of anything.
 */
export type ServerCondition = "well" | "gone" | "unknown";

/** Options of {@link createServerLink}. */
export interface ServerLinkOptions {
  timer: Timer;
  logger: Logger;
  createBackend: BackendFactory;
  /** Connections that the backend server accepts, once that is known. */
  connections: () => number | undefined;
  /** Path of the health check, once the service's settings are known. */
  healthPath: () => string | undefined;
  /** The server says for how long it stays cold, in milliseconds. */
  onCold: (coldMs: number) => void;
  /** The server reports its present slowness. */
  onReport: (slowness: number) => void;
}

/** The link to the announced backend server. */
export interface ServerLink {
  /** The newest announcement, if any. */
  readonly announced: Announcement | undefined;
  /** The client, once a backend server has announced itself. */
  readonly backend: Backend | undefined;
  /** Whether it is known not to answer. */
  readonly down: boolean;
  /** Health checks made. */
  readonly probes: number;
  /** Takes an announcement; one from an earlier boot is outdated. */
  announce(next: Announcement): AnnouncementResult;
  /** Whether the backend server of an announcement is there and well. */
  finds(expected: Announcement): Promise<boolean>;
  /** Takes no announcement of a boot any more. */
  bar(boot: string): void;
  /** Takes no announcement of an instance that started by a Unix time. */
  barInstance(instance: string, startedBy: number): void;
  /** Notes that it does not answer; returns whether that is news. */
  markDown(): boolean;
  /** Checks its health once. */
  probe(): Promise<boolean>;
  /** The same, and whether a failure proves that the server is gone. */
  examine(): Promise<ServerCondition>;
  /** Notes what the head of an answer said of the server. */
  noteVerdict(verdict: BackendVerdict): void;
  /** Load as the server last reported it. */
  readonly report: ServerReport | undefined;
  /** Age of that report in milliseconds. */
  readonly reportAgeMs: number;
}

/** Status of a backend server that is well and does not leave. */
const HEALTHY = 200;
const PROBE_TIMEOUT_MS = 250;
/** Longest body of a health check's answer, in bytes. */
const MAX_HEALTH_BYTES = 64 * 1024;
/** Connections until the service's settings are known. */
const INITIAL_CONNECTIONS = 256;

/** Creates a link that knows no backend server yet. */
export function createServerLink(options: ServerLinkOptions): ServerLink {
  const { timer, logger } = options;
  const pastBoots = new Set<string>();
  /** Latest start of each instance that is known to have left. */
  const leftInstances = new Map<string, number>();
  let announced: Announcement | undefined;
  let backend: Backend | undefined;
  let down = false;
  let probes = 0;
  let report: ServerReport | undefined;
  let reportedAt = -Infinity;

  /** Whether an announcement is of a start that left before it was known. */
  function hasLeft({ instance = "", startedAt = 0 }: Announcement): boolean {
    const startedBy = leftInstances.get(instance);
    return startedBy !== undefined && startedAt <= startedBy;
  }

  function isOutdated(next: Announcement): boolean {
    if (announced?.boot === next.boot) {
      return next.sequence < announced.sequence;
    }
    if (pastBoots.has(next.boot) || hasLeft(next)) {
      return true;
    }
    return announced?.startedAt !== undefined &&
      next.startedAt !== undefined && next.startedAt < announced.startedAt;
  }

  function connect(next: Announcement): void {
    void backend?.close();
    backend = createClient(next);
    down = false;
    report = undefined;
  }

  function noteVerdict(verdict: BackendVerdict): void {
    if (verdict.report) {
      report = verdict.report;
      reportedAt = timer.now();
      options.onReport(report.slowness);
    }
    if (verdict.coldMs !== undefined) {
      options.onCold(verdict.coldMs);
    }
  }

  function createClient(at: Announcement): Backend {
    return options.createBackend({
      address: at.address,
      connections: options.connections() ?? INITIAL_CONNECTIONS,
      connectTimeoutMs: PROBE_TIMEOUT_MS,
    });
  }

  /** Asks for the health of a backend server. */
  async function askHealth(
    target: Backend,
    at: Announcement,
  ): Promise<BackendAnswer> {
    const canceller = createCanceller();
    const timeout = timer.after(PROBE_TIMEOUT_MS, canceller.cancel);
    try {
      const answer = await target.send({
        method: "GET",
        path: options.healthPath() ?? at.healthPath,
        headers: [["host", at.address]],
        body: undefined,
        requestId: "",
        caller: "",
        instance: "",
        timeLeftMs: PROBE_TIMEOUT_MS,
        signal: canceller,
      });
      await readAway(answer, { limit: MAX_HEALTH_BYTES, peer: at.address });
      return answer;
    } finally {
      timeout.cancel();
    }
  }

  async function check(target: Backend, at: Announcement): Promise<boolean> {
    const { verdict } = await askHealth(target, at);
    const other = verdict?.instance !== undefined &&
      at.instance !== undefined && verdict.instance !== at.instance;
    if (verdict && !other && at.boot === announced?.boot) {
      noteVerdict(verdict);
    }
    return !other;
  }

  async function finds(expected: Announcement): Promise<boolean> {
    const target = createClient(expected);
    try {
      const { status, verdict } = await askHealth(target, expected);
      return status === HEALTHY && verdict?.instance === expected.instance;
    } catch (error) {
      logger.info("guard.not_found", {
        address: expected.address,
        ...errorFields(error),
      });
      return false;
    } finally {
      void target.close();
    }
  }

  async function examine(): Promise<ServerCondition> {
    const target = backend;
    if (!target || !announced) {
      return "gone";
    }
    probes++;
    try {
      if (!await check(target, announced)) {
        return "gone";
      }
    } catch (error) {
      const late = error instanceof BackendError && error.failure === "aborted";
      return late ? "unknown" : "gone";
    }
    if (down && target === backend) {
      down = false;
      logger.info("guard.backend_answers", { boot: announced.boot });
    }
    return "well";
  }

  return {
    get announced() {
      return announced;
    },
    get backend() {
      return backend;
    },
    get down() {
      return down;
    },
    get probes() {
      return probes;
    },
    announce(next) {
      if (isOutdated(next)) {
        return "outdated";
      }
      const previous = announced;
      if (previous?.boot === next.boot) {
        if (previous.sequence === next.sequence) {
          return "repeated";
        }
        announced = next;
        return "renewed";
      }
      announced = next;
      if (previous) {
        pastBoots.add(previous.boot);
      }
      connect(next);
      return "new";
    },
    finds,
    bar: (boot) => pastBoots.add(boot),
    barInstance: (instance, startedBy) =>
      leftInstances.set(instance, startedBy),
    get report() {
      return report;
    },
    get reportAgeMs() {
      return timer.now() - reportedAt;
    },
    noteVerdict,
    markDown() {
      const news = !down;
      down = true;
      return news;
    },
    examine,
    probe: async () => await examine() === "well",
  };
}
