/**
 * Attributes crashes of the backend server to requests. The requests that were
 * in flight at a crash become suspects at this guard and at the other guards of
 * the service.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import {
  computeFingerprint,
  type RequestContent,
} from "../core/fingerprint.ts";
import type { Suspect } from "../control/suspicions.ts";
import type { Logger } from "../core/logger.ts";
import type { Frame } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import {
  createQuarantine,
  type QuarantineLimits,
  type Suspicion,
} from "./quarantine.ts";

/** Frame that reports a fingerprint as suspected of a crash, or as cleared. */
export type SuspicionFrame = Extract<Frame, { kind: "suspicion" }>;

/** Reports to control, which keeps suspicions for guards that start later. */
export interface CrashReports {
  /** Reports a crash and the requests that were in flight. */
  reportCrash(crash: string, fingerprints: readonly string[]): void;
  /** Reports that a suspect ran alone and was answered. */
  reportCleared(fingerprint: string): void;
}

/** Options of {@link createCrashWatch}. */
export interface CrashWatchOptions {
  vm: string;
  domain: string;
  timer: Timer;
  logger: Logger;
  recorder: Recorder;
  limits: () => QuarantineLimits;
  /** Sends a frame to the other guards of the service. */
  share: (frame: SuspicionFrame) => void;
  reports: CrashReports;
}

/** Suspicions about requests that may crash the backend server. */
export interface CrashWatch {
  /** Number of fingerprints with a recorded crash. */
  readonly suspects: number;
  /** Whether connections were reset since the last crash. */
  readonly sawResets: boolean;
  /** Returns whether a request is suspect or quarantined. */
  suspicionOf(request: RequestContent): Suspicion;
  /** Records that a connection was reset while the request was in flight. */
  noteReset(request: RequestContent): void;
  /**
   * Records a crash of the backend server for each request whose connection was
   * reset recently. `crash` identifies the crash.
   */
  recordCrash(crash: string): void;
  /** Clears a suspect that ran alone and was answered. */
  clearSuspicion(request: RequestContent): void;
  /** Applies a frame that another guard has sent. */
  applySuspicion(frame: SuspicionFrame): void;
  /**
   * Applies all suspects that control has kept. Those that it kept before and no
   * longer keeps were cleared, or their time is over.
   */
  learn(suspects: readonly Suspect[]): void;
}

interface Reset {
  fingerprint: string;
  at: number;
}

const RECENT_RESET_MS = 5_000;

/** Creates a watch without suspects. */
export function createCrashWatch(options: CrashWatchOptions): CrashWatch {
  const { vm, domain, timer, logger, recorder, share, reports } = options;
  const quarantine = createQuarantine(timer, options.limits);
  let resets: Reset[] = [];
  /** Fingerprints that control keeps, as far as it has told. */
  let kept = new Set<string>();

  /** Returns the fingerprints of recent resets and forgets all resets. */
  function takeRecentResets(): Set<string> {
    const since = timer.now() - RECENT_RESET_MS;
    const recent = resets.filter((reset) => reset.at >= since);
    resets = [];
    return new Set(recent.map((reset) => reset.fingerprint));
  }

  function addSuspect(fingerprint: string, crash: string): void {
    const suspicion = quarantine.addCrash(fingerprint, crash);
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
    suspicionOf(request) {
      // Usually nothing is suspected; the fingerprint is then not computed.
      return quarantine.size === 0
        ? "none"
        : quarantine.suspicionOf(computeFingerprint(request));
    },
    noteReset(request) {
      const fingerprint = computeFingerprint(request);
      resets.push({ fingerprint, at: timer.now() });
    },
    recordCrash(crash) {
      const suspects = takeRecentResets();
      suspects.forEach((fingerprint) => addSuspect(fingerprint, crash));
      if (suspects.size > 0) {
        reports.reportCrash(crash, [...suspects]);
      }
      logger.warn("guard.backend_crashed", { crash, suspects: suspects.size });
      recorder.record({
        kind: "crash",
        server: vm,
        domain,
        cause: `${suspects.size} requests in flight`,
      });
    },
    clearSuspicion(request) {
      const fingerprint = computeFingerprint(request);
      if (quarantine.clear(fingerprint)) {
        share({ kind: "suspicion", fingerprint, crash: "", cleared: true });
        reports.reportCleared(fingerprint);
      }
    },
    applySuspicion(frame) {
      if (frame.cleared) {
        quarantine.clear(frame.fingerprint);
      } else {
        quarantine.addCrash(frame.fingerprint, frame.crash);
      }
    },
    learn(suspects) {
      const next = new Set(suspects.map(({ fingerprint }) => fingerprint));
      for (const fingerprint of kept) {
        if (!next.has(fingerprint)) {
          quarantine.clear(fingerprint);
        }
      }
      kept = next;
      for (const { fingerprint, crashes, ageMs } of suspects) {
        crashes.forEach((crash) =>
          quarantine.addCrash(fingerprint, crash, ageMs)
        );
      }
    },
  };
}
