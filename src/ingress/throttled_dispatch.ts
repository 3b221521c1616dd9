/**
 * Dispatches requests that the throttle lets pass, and tells the throttle how
 * they ended.
 * @module
 */
import type { Metrics } from "../metrics/metrics.ts";
import type { Timer } from "../time/timer.ts";
import { notRunReply, type Reply } from "./call.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { RoutedCall } from "./routed_call.ts";
import { isForCapacity } from "./refusal_causes.ts";
import type { RequestEnd, Throttle } from "./throttle.ts";

/** Options of {@link throttleDispatch}. */
export interface ThrottledDispatchOptions {
  throttle: Throttle;
  timer: Timer;
  metrics: Metrics;
  /** Adds jitter to a time after which a caller comes back. */
  addJitter: (ms: number) => number;
}

/** Time after which a request comes back that no guard was asked to run. */
const RETRY_AFTER_MS = 400;
const GATEWAY_TIMEOUT = 504;

/**
 * Returns what the end of a request says of the fleet's capacity, if it says
 * anything. A server that refuses or loses a request had a free slot for it.
 */
function readCapacity(reply: Reply): RequestEnd | undefined {
  const { outcome, reason, status } = reply;
  if (outcome !== "not_run") {
    return status === GATEWAY_TIMEOUT ? undefined : "accepted";
  }
  if (isForCapacity(reason)) {
    return "refused";
  }
  return reason === "shed" ? "accepted" : undefined;
}

/** Creates a dispatcher that refuses what the throttle does not let pass. */
export function throttleDispatch(
  dispatcher: Dispatcher,
  options: ThrottledDispatchOptions,
): Dispatcher {
  const { throttle, timer, metrics, addJitter } = options;

  function refuse(): Reply {
    metrics.count("throttled");
    const retryAfterMs = addJitter(RETRY_AFTER_MS);
    const reply = notRunReply("overloaded", { attempts: 0, retryAfterMs });
    return { ...reply, reason: "throttled" };
  }

  return {
    async run(routed: RoutedCall) {
      const { objectiveAt = Infinity, workspace, settings } = routed;
      const kind = `${workspace} ${settings.class}`;
      if (throttle.refuses(kind, objectiveAt < timer.now())) {
        return refuse();
      }
      const reply = await dispatcher.run(routed);
      const end = readCapacity(reply);
      if (end) {
        throttle.record(kind, end);
      }
      return reply;
    },
  };
}
