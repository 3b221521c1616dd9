/**
 * Pings of guards about whose load nothing recent is known, within a budget.
 * @module
 */
import { createRateBudget } from "../ingress/budget.ts";
import type { Hints } from "../ingress/hints.ts";
import type { PeerPool } from "../ingress/peer_pool.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Timer } from "../time/timer.ts";
import type { Directory } from "./directory.ts";

/** Options of {@link createPeerProbes}. */
export interface PeerProbesOptions {
  vm: string;
  directory: Directory;
  pool: PeerPool;
  timer: Timer;
  metrics: Metrics;
  /** What the ingress knows of the guards' loads. */
  hints: () => Hints;
}

/**
 * Creates a function that pings the guards of subscribed services that lack a
 * recent load report.
 */
export function createPeerProbes(
  options: PeerProbesOptions,
): () => Promise<void> {
  const { vm, directory, pool, timer, metrics, hints } = options;
  const budget = createRateBudget(
    timer,
    () => directory.global?.limits.measuring.probes_per_node_per_s ?? 0,
  );

  async function probe(server: string, address: string): Promise<void> {
    metrics.count("probes");
    const load = await pool.ping(address);
    if (load) {
      hints().recordLoad(server, load);
    }
  }

  return async () => {
    for (const service of Object.keys(directory.known.services)) {
      for (const peer of directory.service(service)?.members ?? []) {
        const needsProbe = peer.server !== vm && directory.inService(peer) &&
          hints().lacksRecentReport(peer.server);
        if (needsProbe && budget.take()) {
          await probe(peer.server, peer.address);
        }
      }
    }
  };
}
