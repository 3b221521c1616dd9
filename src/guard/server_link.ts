/**
 * The link to the backend server that announced itself on this VM: its newest
 * announcement, a client for it, and whether it answers.
 * @module
 */
import type { Departure } from "../control/departures.ts";
import { createCanceller } from "../core/cancellation.ts";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Timer } from "../time/timer.ts";
import { discardBody } from "./answer_body.ts";
import {
  type AnswerMetadata,
  type Backend,
  type BackendAnswer,
  BackendError,
  type BackendFactory,
  type BackendFailure,
  type LoadReport,
} from "./backend.ts";

/** What a backend server announces about itself. */
export interface Announcement {
  service: string;
  address: string;
  /** Identifies one run of the server, from its start to its end. */
  boot: string;
  /** Increases with each announcement of the same boot. */
  sequence: number;
  healthPath: string;
  /** The server's own name of its instance; empty if it has none. */
  instance?: string;
  /** Unix time of the server's start in milliseconds, if announced. */
  startedAt?: number;
  /** Number of requests that the server runs concurrently, if announced. */
  slots?: number;
  /** Time for which the server stays cold in milliseconds, if announced. */
  coldMs?: number;
}

/**
 * How an announcement compares with the newest one so far: `new` is another
 * boot, `renewed` the same boot with a higher sequence, `repeated` the same
 * announcement again, `outdated` an older one or one of a server that has left.
 */
export type AnnouncementResult = "new" | "renewed" | "repeated" | "outdated";

/**
 * Result of a health check. `healthy` means that the server answered, with any
 * status. `unknown` means that no answer came in time, or one that is not to the
 * check. Neither proves anything: the server or this process may only be slow,
 * and a late answer to a request may be in the way. `not_running` means that
 * the check failed in any other way, or that another instance answered: the
 * announced server no longer runs.
 */
export type ServerHealth = "healthy" | "not_running" | "unknown";

/** Options of {@link createServerLink}. */
export interface ServerLinkOptions {
  timer: Timer;
  logger: Logger;
  createBackend: BackendFactory;
  /**
   * Returns how many connections the backend server accepts, once that is
   * known.
   */
  connections: () => number | undefined;
  /**
   * Returns the path of the health check, once the service's settings are
   * known.
   */
  healthPath: () => string | undefined;
  /**
   * Called when the server reports for how long it stays cold, in milliseconds.
   */
  onCold: (coldMs: number) => void;
  /**
   * Called for each answer with the rate that it names, if it names one, and the
   * monotonic time at which its request was sent.
   */
  onLimit: (requestsPerS: number | undefined, sentAt: number) => void;
  /** Called for each answer in which the announced server says that it leaves. */
  onLeaving: (boot: string) => void;
  /** Called when the server reports its current slowness. */
  onReport: (slowness: number) => void;
}

/** The link to the announced backend server. */
export interface ServerLink {
  /** The newest announcement, if any. */
  readonly announced: Announcement | undefined;
  /** The client of the announced backend server, if any. */
  readonly backend: Backend | undefined;
  /** Whether the server is known not to answer. */
  readonly down: boolean;
  /** Number of health checks so far. */
  readonly probes: number;
  /** Processes an announcement; one of an earlier boot is outdated. */
  announce(next: Announcement): AnnouncementResult;
  /**
   * Checks that the expected instance answers at its address and is healthy.
   */
  verifyServer(expected: Announcement): Promise<boolean>;
  /** Rejects announcements of what has left. */
  rejectDeparted(departure: Departure): void;
  /** Marks the server as down; returns whether it was not marked before. */
  markDown(): boolean;
  /** Runs one health check; resolves with whether the server answered it. */
  probe(): Promise<boolean>;
  /**
   * Runs one health check; distinguishes a server that no longer runs from one
   * that is slow.
   */
  checkHealth(): Promise<ServerHealth>;
  /**
   * Applies the metadata of the server's answer to a request that was sent at a
   * monotonic time.
   */
  applyAnswerMetadata(metadata: AnswerMetadata, sentAt: number): void;
  /** The last load report of the server, if any. */
  readonly report: LoadReport | undefined;
  /** Age of the newest report in milliseconds; infinite before the first. */
  readonly reportAgeMs: number;
}

/** Status of a health check at a server that is healthy and not leaving. */
const HEALTHY = 200;
const PROBE_TIMEOUT_MS = 250;
/** Longest body of a health check response, in bytes. */
const MAX_HEALTH_BYTES = 64 * 1024;
/**
 * Failures of a health check that prove nothing: it timed out, or something at
 * the address answered, but not to the check.
 */
const PROVES_NOTHING = new Set<BackendFailure>(["aborted", "defective"]);
/** Connection limit until the service's settings are known. */
const INITIAL_CONNECTIONS = 256;

/** Creates a link without an announced backend server. */
export function createServerLink(options: ServerLinkOptions): ServerLink {
  const { timer, logger } = options;
  const pastBoots = new Set<string>();
  /**
   * Latest start, as Unix time in ms, of each instance that is known to have
   * left.
   */
  const leftInstances = new Map<string, number>();
  let announced: Announcement | undefined;
  let backend: Backend | undefined;
  let down = false;
  let probes = 0;
  let report: LoadReport | undefined;
  let reportedAt = -Infinity;

  /**
   * Whether an announcement is of an instance that has left since that start.
   */
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

  function applyAnswerMetadata(metadata: AnswerMetadata, sentAt: number): void {
    options.onLimit(metadata.requestsPerS, sentAt);
    if (metadata.leaving && announced) {
      options.onLeaving(announced.boot);
    }
    if (metadata.report) {
      report = metadata.report;
      reportedAt = timer.now();
      options.onReport(report.slowness);
    }
    if (metadata.coldMs !== undefined) {
      options.onCold(metadata.coldMs);
    }
  }

  function createClient(announcement: Announcement): Backend {
    return options.createBackend({
      address: announcement.address,
      connections: options.connections() ?? INITIAL_CONNECTIONS,
      connectTimeoutMs: PROBE_TIMEOUT_MS,
    });
  }

  /** Sends a health check to a backend server. */
  async function requestHealth(
    target: Backend,
    announcement: Announcement,
  ): Promise<BackendAnswer> {
    const canceller = createCanceller();
    const timeout = timer.after(PROBE_TIMEOUT_MS, canceller.cancel);
    try {
      const answer = await target.send({
        method: "GET",
        path: options.healthPath() ?? announcement.healthPath,
        headers: [["host", announcement.address]],
        body: undefined,
        requestId: "",
        caller: "",
        instance: "",
        timeLeftMs: PROBE_TIMEOUT_MS,
        signal: canceller,
      });
      await discardBody(answer, {
        limit: MAX_HEALTH_BYTES,
        peer: announcement.address,
      });
      return answer;
    } finally {
      timeout.cancel();
    }
  }

  async function checkInstance(
    target: Backend,
    announcement: Announcement,
  ): Promise<boolean> {
    const sentAt = timer.now();
    const { metadata } = await requestHealth(target, announcement);
    const isOtherInstance = metadata?.instance !== undefined &&
      announcement.instance !== undefined &&
      metadata.instance !== announcement.instance;
    if (metadata && !isOtherInstance && announcement.boot === announced?.boot) {
      applyAnswerMetadata(metadata, sentAt);
    }
    return !isOtherInstance;
  }

  async function verifyServer(expected: Announcement): Promise<boolean> {
    const target = createClient(expected);
    try {
      const { status, metadata } = await requestHealth(target, expected);
      return status === HEALTHY && metadata?.instance === expected.instance;
    } catch (error) {
      logger.info("guard.server_not_verified", {
        address: expected.address,
        ...errorFields(error),
      });
      return false;
    } finally {
      void target.close();
    }
  }

  async function checkHealth(): Promise<ServerHealth> {
    const target = backend;
    if (!target || !announced) {
      return "not_running";
    }
    probes++;
    try {
      if (!await checkInstance(target, announced)) {
        return "not_running";
      }
    } catch (error) {
      return error instanceof BackendError && PROVES_NOTHING.has(error.failure)
        ? "unknown"
        : "not_running";
    }
    if (down && target === backend) {
      down = false;
      logger.info("guard.backend_recovered", { boot: announced.boot });
    }
    return "healthy";
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
    verifyServer,
    rejectDeparted(departure) {
      if (departure.kind === "boot") {
        pastBoots.add(departure.boot);
        return;
      }
      const { instance, startedBy } = departure;
      const before = leftInstances.get(instance) ?? -Infinity;
      leftInstances.set(instance, Math.max(before, startedBy));
    },
    get report() {
      return report;
    },
    get reportAgeMs() {
      return timer.now() - reportedAt;
    },
    applyAnswerMetadata,
    markDown() {
      const changed = !down;
      down = true;
      return changed;
    },
    checkHealth,
    probe: async () => await checkHealth() === "healthy",
  };
}
