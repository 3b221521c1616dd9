/**
 * The backend server that announced itself on this VM: which boot it is, how to
 * reach it, and whether it answers.
 * @module
 */
import { createCanceller } from "../core/cancellation.ts";
import type { Logger } from "../core/logger.ts";
import type { Timer } from "../time/timer.ts";
import type { Backend, BackendFactory } from "./backend.ts";
import { readAll } from "./run.ts";

/** A backend server as it announced itself. */
export interface Announcement {
  service: string;
  address: string;
  boot: string;
  /** Rises with each announcement of a boot. */
  sequence: number;
  healthPath: string;
}

/** What an announcement means. */
export type AnnouncementResult = "new" | "renewed" | "outdated";

/** Options of {@link createServerLink}. */
export interface ServerLinkOptions {
  timer: Timer;
  logger: Logger;
  createBackend: BackendFactory;
  /** Connections that the backend server accepts, once that is known. */
  connections: () => number | undefined;
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
  /** Notes that it does not answer; returns whether that is news. */
  markDown(): boolean;
  /** Checks its health once. */
  probe(): Promise<boolean>;
}

const PROBE_TIMEOUT_MS = 250;
/** Connections until the service's settings are known. */
const INITIAL_CONNECTIONS = 256;

/** Creates a link that knows no backend server yet. */
export function createServerLink(options: ServerLinkOptions): ServerLink {
  const { timer, logger } = options;
  const pastBoots = new Set<string>();
  let announced: Announcement | undefined;
  let backend: Backend | undefined;
  let down = false;
  let probes = 0;

  function isOutdated(next: Announcement): boolean {
    return announced?.boot === next.boot
      ? next.sequence <= announced.sequence
      : pastBoots.has(next.boot);
  }

  function connect(next: Announcement): void {
    void backend?.close();
    backend = options.createBackend({
      address: next.address,
      connections: options.connections() ?? INITIAL_CONNECTIONS,
      connectTimeoutMs: PROBE_TIMEOUT_MS,
    });
    down = false;
  }

  async function check(target: Backend, at: Announcement): Promise<void> {
    const canceller = createCanceller();
    const timeout = timer.after(PROBE_TIMEOUT_MS, canceller.cancel);
    try {
      const answer = await target.send({
        method: "GET",
        path: at.healthPath,
        headers: [["host", at.address]],
        body: undefined,
        timeoutMs: PROBE_TIMEOUT_MS,
        signal: canceller,
      });
      await readAll(answer.body);
    } finally {
      timeout.cancel();
    }
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
      announced = next;
      if (previous?.boot === next.boot) {
        return "renewed";
      }
      if (previous) {
        pastBoots.add(previous.boot);
      }
      connect(next);
      return "new";
    },
    markDown() {
      const news = !down;
      down = true;
      return news;
    },
    async probe() {
      const target = backend;
      if (!target || !announced) {
        return false;
      }
      probes++;
      try {
        await check(target, announced);
      } catch {
        return false;
      }
      if (down && target === backend) {
        down = false;
        logger.info("guard.backend_answers", { boot: announced.boot });
      }
      return true;
    },
  };
}
