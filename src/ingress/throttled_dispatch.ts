/**
 * Dispatches requests that the throttle lets pass, and tells the throttle how
 * they ended.
 * @module
 */
import { MEDIAN, type Metrics } from "../metrics/metrics.ts";
import type { Timer } from "../time/timer.ts";
import { notRunReply, type Reply } from "./call.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { RoutedCall } from "./routed_call.ts";
import { isForCapacity } from "./refusal_causes.ts";
import type { RequestEnd, Throttle, ThrottledRequest } from "./throttle.ts";

/** Options of {@link throttleDispatch}. */
export interface ThrottledDispatchOptions {
  throttle: Pick<Throttle, "refusalWaitMs" | "record">;
  timer: Timer;
  metrics: Metrics;
  /**
   * Returns when a caller should come back, after a wait in ms and with a
   * deadline.
   */
  tellRetryAfter: (waitMs: number, deadlineAt: number) => number;
}

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
  const { throttle, timer, metrics, tellRetryAfter } = options;

  function refuse(waitMs: number, { deadlineAt }: RoutedCall): Reply {
    metrics.count("throttled");
    const retryAfterMs = tellRetryAfter(waitMs, deadlineAt);
    const reply = notRunReply("overloaded", { attempts: 0, retryAfterMs });
    return { ...reply, reason: "throttled" };
  }

  return {
    async run(routed: RoutedCall) {
      const { objectiveAt = Infinity, settings } = routed;
      const request: ThrottledRequest = {
        service: routed.route.service,
        class: settings.class,
        workspace: routed.workspace,
        workspaceRank: routed.workspaceRank,
        rank: settings.rank,
        forRunning: routed.forRunning,
        usualMs: metrics.quantile(settings.class, MEDIAN) ?? 0,
        isLate: objectiveAt < timer.now(),
      };
      const waitMs = throttle.refusalWaitMs(request);
      if (waitMs !== undefined) {
        return refuse(waitMs, routed);
      }
      const reply = await dispatcher.run(routed);
      const end = readCapacity(reply);
      if (end) {
        throttle.record(request, end);
      }
      return reply;
    },
  };
}
