/**
 * Decides whether a guard refuses an attempt without queueing it, and describes
 * the others for admission.
 * @module
 */
import { type Cancellation, neverCancelled } from "../core/cancellation.ts";
import type { Attempt, RefusalReason } from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import type { Service } from "../settings/site.ts";
import type { Timer } from "../time/timer.ts";
import type { Admission, AdmissionRequest } from "./admission.ts";
import type { Refusal } from "./attempt_log.ts";
import type { CrashWatch } from "./crash_watch.ts";
import { isFirstChoice } from "./first_choice.ts";
import type { ServerLink } from "./server_link.ts";
import type { ServerRates } from "./server_rates.ts";
import type { ServerWatch } from "./server_watch.ts";
import { findTurnAwayReason } from "./turn_away.ts";

/** What a guard no longer does, from its planned end to its replacement. */
export interface Lifecycle {
  /** Whether the announced backend server leaves. */
  leaving: boolean;
  /** Whether the node stops. */
  draining: boolean;
  /** Whether another incarnation has replaced this guard. */
  superseded: boolean;
}

/** Options of {@link createRefusalRules}. */
export interface RefusalRulesOptions {
  vm: string;
  domain: string;
  incarnation: string;
  directory: Directory;
  timer: Timer;
  /** The guard's present state, which the guard changes. */
  lifecycle: Readonly<Lifecycle>;
  link: ServerLink;
  rates: ServerRates;
  admission: Admission;
  watch: ServerWatch;
  crashes: CrashWatch;
  /** Returns the settings of the server's service, once they are known. */
  settings: () => Service | undefined;
}

/** Rules by which a guard refuses attempts. */
export interface RefusalRules {
  /** Returns why this guard may not run an attempt at all, if it may not. */
  findRefusalReason(frame: Attempt): RefusalReason | undefined;
  /** Returns why an attempt is refused without queueing, if it is. */
  findRefusal(frame: Attempt): Refusal | undefined;
  /**
   * Whether a request for a service would start at once and run at the usual
   * speed.
   */
  startsAtOnce(service: string): boolean;
  /**
   * Creates the request for admission. It holds points in monotonic time, while
   * the frame holds the time left.
   */
  createAdmissionRequest(
    frame: Attempt,
    options: { exclusive: boolean; signal: Cancellation },
  ): AdmissionRequest;
}

/** Creates the rules of one guard. */
export function createRefusalRules(options: RefusalRulesOptions): RefusalRules {
  const { vm, domain, incarnation, directory, timer, lifecycle } = options;
  const { link, rates, admission, watch, crashes, settings } = options;

  function findRefusalReason(frame: Attempt): RefusalReason | undefined {
    if (lifecycle.superseded) {
      return "superseded";
    }
    if (frame.incarnation !== incarnation) {
      return "other_incarnation";
    }
    const serviceReason = findServiceRefusalReason(frame.service);
    if (serviceReason) {
      return serviceReason;
    }
    return crashes.suspicionOf(frame) === "quarantined"
      ? "quarantined"
      : undefined;
  }

  /** Returns why this guard refuses every request for a service, if it does. */
  function findServiceRefusalReason(
    service: string,
  ): RefusalReason | undefined {
    if (lifecycle.draining || lifecycle.leaving) {
      return "draining";
    }
    if (directory.isDomainWithdrawn(domain)) {
      return "domain_out";
    }
    if (directory.isServerWithdrawn(vm)) {
      return "server_out";
    }
    const serves = link.announced?.service === service;
    if (!link.backend || link.down || !serves) {
      return "no_backend_server";
    }
    return settings() ? undefined : "not_ready";
  }

  function startsAtOnce(service: string): boolean {
    if (lifecycle.superseded || findServiceRefusalReason(service)) {
      return false;
    }
    if (rates.warmup.cold || rates.warmup.pauseMs > 0) {
      return false;
    }
    return isFirstChoice({
      inFlight: admission.inFlight,
      queued: admission.queued,
      allowed: rates.warmup.allowed,
      report: link.report &&
        { slowness: link.report.slowness, ageMs: link.reportAgeMs },
      failureRatio: watch.failureRatio(),
    });
  }

  /**
   * Returns why another guard should run an attempt, if the sender is able to
   * ask another one.
   */
  function findTurnAwayRefusal(frame: Attempt): Refusal | undefined {
    if (!frame.elsewhere) {
      return undefined;
    }
    const { objectiveLeftMs = Infinity } = frame;
    const waitMs = admission.expectedWaitMs(
      createAdmissionRequest(frame, {
        exclusive: false,
        signal: neverCancelled,
      }),
    );
    const reason = findTurnAwayReason({
      slowness: link.report?.slowness ?? 1,
      reportAgeMs: link.reportAgeMs,
      waitMs,
      slackMs: objectiveLeftMs - watch.usualMs(frame.class),
      failureRatio: watch.failureRatio(),
    });
    return reason && { reason, waitMs };
  }

  function findRefusal(frame: Attempt): Refusal | undefined {
    const reason = findRefusalReason(frame);
    return reason ? { reason } : findTurnAwayRefusal(frame);
  }

  function createAdmissionRequest(
    frame: Attempt,
    options: { exclusive: boolean; signal: Cancellation },
  ): AdmissionRequest {
    const { objectiveLeftMs } = frame;
    const now = timer.now();
    return {
      workspace: frame.tenant,
      workspaceRank: frame.workspaceRank,
      rank: frame.rank,
      forRunning: frame.forRunning,
      returning: frame.returning,
      deadlineAt: now + frame.timeLeftMs,
      objectiveAt: objectiveLeftMs === undefined
        ? undefined
        : now + objectiveLeftMs,
      usualMs: watch.usualMs(frame.class),
      ...options,
    };
  }

  return {
    findRefusalReason,
    findRefusal,
    startsAtOnce,
    createAdmissionRequest,
  };
}
