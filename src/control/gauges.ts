/**
 * Gauges of a control replica.
 * @module
 */
import type { Metrics } from "../metrics/metrics.ts";
import type { Control } from "./control.ts";

/** Adds a replica's gauges to its metrics. */
export function registerControlGauges(
  metrics: Metrics,
  control: Control,
): void {
  const status = () => control.status();
  metrics.gauge("replica_leads", () => Number(status().role === "leader"));
  metrics.gauge("replica_failed", () => Number(status().role === "failed"));
  metrics.gauge("replica_term", () => status().term);
  metrics.gauge("replica_voters", () => status().voters.length);
  metrics.gauge("replica_learners", () => status().learners.length);
  metrics.gauge("log_last_index", () => status().lastIndex);
  metrics.gauge("log_commit_index", () => status().commitIndex);
  metrics.gauge("log_snapshot_index", () => status().snapshotIndex);
  metrics.gauge(
    "replica_staleness_seconds",
    () => control.replica.stalenessMs() / 1_000,
  );
  metrics.gauge("configuration_version", () => status().version);
  metrics.gauge("members", () => status().members.length);
  metrics.gauge("events_dropped", () => status().eventsDropped);
}
