/**
 * Watches for crashes of the backend server: what was in flight at one is
 * accused here and at the other guards of the service.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import { fingerprintOf, type RequestContent } from "../core/fingerprint.ts";
import type { Logger } from "../core/logger.ts";
import type { Frame } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import {
  createQuarantine,
  type QuarantineLimits,
  type Suspicion,
} from "./quarantine.ts";

/** Says that a fingerprint is accused of a crash, or is cleared. */
export type SuspicionFrame = Extract<Frame, { kind: "suspicion" }>;

/** Options of {@link createCrashWatch}. */
export interface CrashWatchOptions {
  vm: string;
  domain: string;
  timer: Timer;
  logger: Logger;
  recorder: Recorder;
  limits: () => QuarantineLimits;
  /** Tells the other guards of the service. */
  share: (frame: SuspicionFrame) => void;
}

/** Watches for crashes of a backend server. */
export interface CrashWatch {
  /** Fingerprints under suspicion. */
  readonly suspects: number;
  /** Whether connections were reset since the last crash. */
  readonly sawResets: boolean;
  /** Returns what is known of a request. */
  judge(request: RequestContent): Suspicion;
  /** A connection was reset while a request was in flight. */
  noteReset(request: RequestContent): void;
  /** The backend server crashed; accuses what was reset lately. */
  accuse(crash: string): void;
  /** A suspect ran alone to its end. */
  acquit(request: RequestContent): void;
  /** Another guard tells of a suspicion. */
  hear(frame: SuspicionFrame): void;
}

interface Reset {
  fingerprint: string;
  at: number;
}

const RECENT_RESET_MS = 5_000;

/** Creates a watch that has seen nothing. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { vm, domain, timer, logger, recorder, share } = options;
  const quarantine = createQuarantine(timer, options.limits);
  let resets: Reset[] = [];

  /** Takes the fingerprints that were reset lately, each once. */
  function takeRecent(): Set<string> {
    const since = timer.now() - RECENT_RESET_MS;
    const recent = resets.filter((reset) => reset.at >= since);
    resets = [];
    return new Set(recent.map((reset) => reset.fingerprint));
  }

  function accuseOne(fingerprint: string, crash: string): void {
    const suspicion = quarantine.accuse(fingerprint, crash);
    share({ kind: "suspicion", fingerprint, crash, cleared: false });
    if (suspicion === "quarantined") {
      logger.warn("guard.quarantined", { fingerprint });
      recorder.record({ kind: "quarantine", server: vm, cause: fingerprint });
    }
  }

  return {
    get suspects() {
      return quarantine.size;
    },
    get sawResets() {
      return resets.length > 0;
    },
    judge(request) {
      // Mostly nothing is suspected, and no fingerprint worked out.
      return quarantine.size === 0
        ? "none"
        : quarantine.judge(fingerprintOf(request));
    },
    noteReset(request) {
      const fingerprint = fingerprintOf(request);
      resets.push({ fingerprint, at: timer.now() });
    },
    accuse(crash) {
      const suspects = takeRecent();
      suspects.forEach((fingerprint) => accuseOne(fingerprint, crash));
      logger.warn("guard.backend_crashed", { crash, suspects: suspects.size });
      recorder.record({
        kind: "crash",
        server: vm,
        domain,
        cause: `${suspects.size} requests in flight`,
      });
    },
    acquit(request) {
      const fingerprint = fingerprintOf(request);
      if (quarantine.clear(fingerprint)) {
        share({ kind: "suspicion", fingerprint, crash: "", cleared: true });
      }
    },
    hear(frame) {
      if (frame.cleared) {
        quarantine.clear(frame.fingerprint);
      } else {
        quarantine.accuse(frame.fingerprint, frame.crash);
      }
    },
  };
}
