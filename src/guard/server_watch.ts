/**
 * What a guard learns of its backend server from what runs there: how long
 * things take, whether it is slow, full or failing at present.
 * @module
 */
import type { Answer, Failed, Refused } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import { createFailingShare } from "./failing_share.ts";
import { createConcurrencyLimit } from "./concurrency_limit.ts";
import { createSlowNotice } from "./slow_notice.ts";
import { createLatencySpike } from "./latency_spike.ts";
import { createLatencyEstimate } from "./latency_estimate.ts";

/** A request that begins at the backend server. */
export interface Beginning {
  class: string;
  /** Requests that run, this one included. */
  busy: number;
  slots: number;
  /** Slowness that the server last reported. */
  slowness: number;
  /** Is called if it turns out that the request began on a slow server. */
  onSlow: () => void;
}

/** The watch over one request that runs. */
export interface RunWatch {
  /** The server has answered it, beside `busy` requests. */
  completed(latencyMs: number, busy: number): void;
  /** It has ended, in whatever way. */
  ended(end: Answer | Failed | Refused): void;
}

/** The watch over one backend server. */
export interface ServerWatch {
  /** The server has reported its present slowness. */
  report(slowness: number): void;
  /** Time that a kind of request usually takes, in ms; 0 while unknown. */
  usualMs(className: string): number;
  /** Time for which work had better wait for a faster server, in ms. */
  holdMs(usualMs: number): number;
  /** How many of its slots are worth filling. */
  worthFilling(slots: number): number;
  /** Share of recent requests that it failed or turned away. */
  failingShare(): number;
  /** A request begins. */
  begin(beginning: Beginning): RunWatch;
}

const FIRST_SERVER_ERROR = 500;

/** Creates a watch that has seen nothing. */
export function createServerWatch(timer: Timer): ServerWatch {
  const notice = createSlowNotice(timer);
  const spike = createLatencySpike(timer);
  const usual = createLatencyEstimate();
  const failing = createFailingShare(timer);
  const concurrency = createConcurrencyLimit(timer);

  /** Whether an end shows that the server, or what it calls, does not work. */
  function hasFailed(end: Answer | Failed | Refused): boolean {
    return end.kind === "answer"
      ? end.status >= FIRST_SERVER_ERROR
      : end.kind === "refused" || !end.cause.startsWith("aborted");
  }

  function learn(
    beginning: Beginning,
    completion: { latencyMs: number; busy: number },
  ): void {
    const { class: name, slots, slowness } = beginning;
    const { latencyMs, busy } = completion;
    concurrency.note({
      class: name,
      latencyMs: latencyMs / Math.max(1, slowness),
      busyAtStart: beginning.busy,
      busyAtEnd: busy,
      slots,
    });
    // What a nearly full server does must not become the usual.
    const full = concurrency.nearlyFull(beginning.busy, slots) ||
      concurrency.nearlyFull(busy, slots);
    if (!full || usual.of(name) === 0) {
      usual.note(name, latencyMs, slowness);
    }
  }

  return {
    report(slowness) {
      notice.report(slowness);
      spike.report(slowness);
    },
    usualMs: usual.of,
    holdMs: spike.holdMs,
    worthFilling: concurrency.worthFilling,
    failingShare: failing.share,
    begin(beginning) {
      const release = notice.begin(beginning.onSlow);
      return {
        completed: (latencyMs, busy) => learn(beginning, { latencyMs, busy }),
        ended(end) {
          release();
          failing.note(hasFailed(end));
        },
      };
    },
  };
}
