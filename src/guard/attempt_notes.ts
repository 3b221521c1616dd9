/**
 * What a guard notes of attempts, for those who ask later why: in logs, in
 * metrics, and in the events that control keeps.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Logger, LogValue } from "../core/logger.ts";
import { createRequestLog } from "../core/request_log.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Attempt, Load, RefusalReason } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import type { End } from "./run.ts";
import { isTurnedAway } from "./load_shedding.ts";

/** Why an attempt did not run, and when a place is likely, if known. */
export interface Refusal {
  reason: RefusalReason;
  waitMs?: number;
}

/** What a guard knows at the moment of a decision. */
export interface DecisionMoment {
  load: Load;
  cold: boolean;
  boot: string | undefined;
  /** Age of the server's own report in ms, if there is one. */
  reportAgeMs: number | undefined;
}

/** Notes what becomes of attempts. */
export interface AttemptNotes {
  /** An attempt did not run. */
  refused(frame: Attempt, refusal: Refusal): void;
  /** An attempt that ran at the backend server has ended. */
  ended(frame: Attempt, end: End, waitedMs: number): void;
}

/** Options of {@link createAttemptNotes}. */
export interface AttemptNotesOptions {
  vm: string;
  domain: string;
  logger: Logger;
  timer: Timer;
  metrics: Metrics;
  recorder: Recorder;
  moment: () => DecisionMoment;
}

const FIRST_SERVER_ERROR = 500;
/** Refusals of which there are many under load. */
const COMMON_UNDER_LOAD = new Set<RefusalReason>([
  "overloaded",
  "cold",
  "no_connection",
  "no_time",
  "cancelled",
]);

/** How an attempt ended that the server did not answer well. */
function howItEnded(end: End): Record<string, LogValue> {
  switch (end.kind) {
    case "answer":
      return { outcome: "ran", status: end.status };
    case "refused":
      return { outcome: "not_run", cause: end.reason };
    case "failed":
      return { outcome: end.outcome, cause: end.cause };
  }
}

/** Creates notes of attempts. */
export function createAttemptNotes(options: AttemptNotesOptions): AttemptNotes {
  const { vm, domain, metrics, recorder } = options;
  const log = createRequestLog(options);

  /** The inputs of a decision, and their age. */
  function inputs(frame: Attempt): Record<string, LogValue> {
    const { load, cold, reportAgeMs } = options.moment();
    return {
      route: frame.class,
      service: frame.service,
      from: frame.from,
      left_ms: Math.round(frame.timeLeftMs),
      in_flight: load.inFlight,
      queued: load.queued,
      allowed: load.allowed,
      cold: cold || undefined,
      slowness: load.slowness,
      report_age_ms: reportAgeMs && Math.round(reportAgeMs),
      version: load.version,
    };
  }

  function recordRefusal(frame: Attempt, reason: RefusalReason): void {
    recorder.record({
      kind: "refused",
      requestId: frame.requestId,
      service: frame.service,
      server: vm,
      domain,
      outcome: "not_run",
      cause: reason,
    });
  }

  return {
    refused(frame, { reason, waitMs }) {
      metrics.countBy("guard_refusals", { name: "reason", value: reason });
      const fields = () => ({
        reason,
        expected_wait_ms: waitMs && Math.round(waitMs),
        ...inputs(frame),
      });
      if (isTurnedAway(reason)) {
        log.sample("guard.turned_away", frame.requestId, fields);
        return;
      }
      if (COMMON_UNDER_LOAD.has(reason)) {
        log.noteCommon("guard.refused", frame.requestId, fields);
      } else {
        log.note("guard.refused", frame.requestId, fields());
      }
      recordRefusal(frame, reason);
    },
    ended(frame, end, waitedMs) {
      metrics.countBy("guard_ends", { name: "kind", value: end.kind });
      const fields = () => ({
        waited_ms: Math.round(waitedMs),
        boot: options.moment().boot,
        ...inputs(frame),
      });
      if (end.kind === "answer" && end.status < FIRST_SERVER_ERROR) {
        log.sample("guard.ran", frame.requestId, fields);
      } else {
        const how = howItEnded(end);
        log.note("guard.ran_badly", frame.requestId, { ...how, ...fields() });
      }
    },
  };
}
