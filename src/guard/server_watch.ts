/**
 * Monitors a backend server through the requests that its guard runs there:
 * usual latencies, and whether the server is slow, nearly full or failing.
 * @module
 */
import type { Answer, Failed, Refused } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import { createFailureRatio } from "./failure_ratio.ts";
import { createConcurrencyLimit } from "./concurrency_limit.ts";
import { createSlowNotice } from "./slow_notice.ts";
import { createLatencySpike } from "./latency_spike.ts";
import { createLatencyEstimate } from "./latency_estimate.ts";

/** The start of a request at the backend server. */
export interface RequestStart {
  class: string;
  /** Number of running requests, this one included. */
  busy: number;
  slots: number;
  /** Slowness that the server last reported. */
  slowness: number;
  /** Called if a report shows that the request started on a slow server. */
  onSlow: () => void;
}

/** Monitors one running request. */
export interface RequestWatch {
  /** Records the answer of the server, with `busy` requests then running. */
  recordCompletion(latencyMs: number, busy: number): void;
  /** Records the end of the request; called once, however it ended. */
  recordEnd(end: Answer | Failed | Refused): void;
}

/** Monitors one backend server. */
export interface ServerWatch {
  /** Applies the slowness that the server has just reported. */
  report(slowness: number): void;
  /** Returns the usual latency of a class in ms; 0 while it is unknown. */
  usualMs(className: string): number;
  /** Returns for how long a request should wait for a spike to end, in ms. */
  holdMs(usualMs: number): number;
  /** Returns how many of the slots should be used. */
  usableSlots(slots: number): number;
  /** Returns the share of recent requests that the server failed or refused. */
  failureRatio(): number;
  /** Starts to monitor a request, when it starts at the backend server. */
  begin(start: RequestStart): RequestWatch;
}

const FIRST_SERVER_ERROR = 500;

/** Creates a monitor that has seen no request. */
export function createServerWatch(timer: Timer): ServerWatch {
  const notice = createSlowNotice(timer);
  const spike = createLatencySpike(timer);
  const latencies = createLatencyEstimate();
  const failures = createFailureRatio(timer);
  const concurrency = createConcurrencyLimit(timer);

  /** Whether an end shows a failure of the server or of its dependencies. */
  function hasFailed(end: Answer | Failed | Refused): boolean {
    return end.kind === "answer"
      ? end.status >= FIRST_SERVER_ERROR
      : end.kind === "refused" || !end.cause.startsWith("aborted");
  }

  function recordCompletion(
    start: RequestStart,
    completion: { latencyMs: number; busy: number },
  ): void {
    const { class: name, slots, slowness } = start;
    const { latencyMs, busy } = completion;
    concurrency.note({
      class: name,
      latencyMs: latencyMs / Math.max(1, slowness),
      busyAtStart: start.busy,
      busyAtEnd: busy,
      slots,
    });
    // Latencies of a nearly full server must not raise the usual latency. They
    // are only used while there is none.
    const full = concurrency.isNearlyFull(start.busy, slots) ||
      concurrency.isNearlyFull(busy, slots);
    if (!full || latencies.usualMs(name) === 0) {
      latencies.note(name, latencyMs, slowness);
    }
  }

  return {
    report(slowness) {
      notice.report(slowness);
      spike.report(slowness);
    },
    usualMs: latencies.usualMs,
    holdMs: spike.holdMs,
    usableSlots: concurrency.usableSlots,
    failureRatio: failures.ratio,
    begin(start) {
      const release = notice.begin(start.onSlow);
      return {
        recordCompletion: (latencyMs, busy) =>
          recordCompletion(start, { latencyMs, busy }),
        recordEnd(end) {
          release();
          failures.note(hasFailed(end));
        },
      };
    },
  };
}
