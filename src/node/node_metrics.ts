/**
 * The gauges of a node, and its counters that are shown before their first event.
 * @module
 */
import type { Guard } from "../guard/guard.ts";
import { SILENCE_FINDINGS } from "../ingress/attempt_recovery.ts";
import type { Ingress } from "../ingress/ingress.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Timer } from "../time/timer.ts";
import type { Directory } from "./directory.ts";
import type { Sync } from "./sync.ts";

const MS_PER_SECOND = 1_000;

/** The parts of a node that its metrics show. */
export interface NodeMetricsSources {
  metrics: Metrics;
  timer: Timer;
  directory: Directory;
  sync: Sync;
  ingress: Ingress;
  guard: Guard;
}

/** Adds the metrics of a node. */
export function exposeNodeMetrics(sources: NodeMetricsSources): void {
  const { metrics, timer, directory, sync, ingress, guard } = sources;
  metrics.initializeCounter("guard_silences", {
    label: "finding",
    values: [...SILENCE_FINDINGS],
  });
  metrics.count("left_unread", 0);
  metrics.count("malformed_requests", 0);
  metrics.count("connections_refused", 0);
  metrics.count("throttled", 0);
  metrics.gauge("view_version", () => directory.version);
  metrics.gauge(
    "view_age_seconds",
    () => (timer.now() - sync.lastSyncAt) / MS_PER_SECOND,
  );
  metrics.gauge("requests_in_flight", () => ingress.inFlight);
  metrics.gauge("guard_in_flight", () => guard.load().inFlight);
  metrics.gauge("guard_queued", () => guard.load().queued);
  metrics.gauge("guard_allowed", () => guard.load().allowed);
  metrics.gauge("server_slowness", () => guard.load().slowness);
}
