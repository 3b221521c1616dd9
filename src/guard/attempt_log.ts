/**
 * Records the decisions of a guard about attempts, and their ends, in logs, in
 * metrics and in the events that control keeps, for later diagnosis.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Logger, LogValue } from "../core/logger.ts";
import { createRequestLog } from "../core/request_log.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Attempt, Load, RefusalReason } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import type { AttemptResult } from "./run.ts";
import { isTurnedAway } from "./turn_away.ts";

/** Why an attempt did not run, and the expected wait for a slot, if known. */
export interface Refusal {
  reason: RefusalReason;
  waitMs?: number;
}

/** State of a guard at the time of a decision. */
export interface DecisionInputs {
  load: Load;
  cold: boolean;
  boot: string | undefined;
  /** Age of the server's last load report in ms, if there is one. */
  reportAgeMs: number | undefined;
}

/** Records how attempts end. */
export interface AttemptLog {
  /** Records an attempt that did not run. */
  refused(frame: Attempt, refusal: Refusal): void;
  /** Records the end of an attempt that ran at the backend server. */
  ended(frame: Attempt, end: AttemptResult, waitedMs: number): void;
}

/** Options of {@link createAttemptLog}. */
export interface AttemptLogOptions {
  vm: string;
  domain: string;
  logger: Logger;
  timer: Timer;
  metrics: Metrics;
  recorder: Recorder;
  decisionInputs: () => DecisionInputs;
}

const FIRST_SERVER_ERROR = 500;
/** Reasons that are frequent under load and are logged at a limited rate. */
const COMMON_UNDER_LOAD = new Set<RefusalReason>([
  "overloaded",
  "cold",
  "no_connection",
  "no_time",
  "cancelled",
]);

/** Returns log fields for an attempt that did not end in a good answer. */
function describeEnd(end: AttemptResult): Record<string, LogValue> {
  switch (end.kind) {
    case "answer":
      return { outcome: "ran", status: end.status };
    case "refused":
      return { outcome: "not_run", cause: end.reason };
    case "failed":
      return { outcome: end.outcome, cause: end.cause };
  }
}

/** Creates the log of attempts. */
export function createAttemptLog(options: AttemptLogOptions): AttemptLog {
  const { vm, domain, metrics, recorder } = options;
  const log = createRequestLog(options);

  /** Returns log fields with the inputs of a decision and their age. */
  function inputFields(frame: Attempt): Record<string, LogValue> {
    const { load, cold, reportAgeMs } = options.decisionInputs();
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
        ...inputFields(frame),
      });
      if (isTurnedAway(reason)) {
        log.logSample("guard.turned_away", frame.requestId, fields);
        return;
      }
      if (COMMON_UNDER_LOAD.has(reason)) {
        log.logFrequentFailure("guard.refused", frame.requestId, fields);
      } else {
        log.logFailure("guard.refused", frame.requestId, fields());
      }
      recordRefusal(frame, reason);
    },
    ended(frame, end, waitedMs) {
      metrics.countBy("guard_ends", { name: "kind", value: end.kind });
      const fields = () => ({
        waited_ms: Math.round(waitedMs),
        boot: options.decisionInputs().boot,
        ...inputFields(frame),
      });
      if (end.kind === "answer" && end.status < FIRST_SERVER_ERROR) {
        log.logSample("guard.ran", frame.requestId, fields);
      } else {
        const endFields = describeEnd(end);
        log.logFailure("guard.ran_badly", frame.requestId, {
          ...endFields,
          ...fields(),
        });
      }
    },
  };
}
