/**
 * Estimates the usual latency of each class of requests at a backend server
 * that runs at its usual speed.
 * @module
 */

/** Usual latencies by class. */
export interface LatencyEstimate {
  /** Adds a request that started while the server reported `slowness`. */
  note(className: string, latencyMs: number, slowness: number): void;
  /** Returns the usual latency of a class in ms; 0 while it is unknown. */
  usualMs(className: string): number;
}

const MAX_CLASSES = 1_000;
const WEIGHT = 0.1;

/** Creates an estimate without samples. */
export function createLatencyEstimate(): LatencyEstimate {
  const estimates = new Map<string, number>();
  return {
    note(className, latencyMs, slowness) {
      const sample = latencyMs / Math.max(1, slowness);
      const known = estimates.get(className);
      if (known === undefined && estimates.size >= MAX_CLASSES) {
        return;
      }
      // Bounds the weight of a request that started in an unreported spike.
      const bounded = known === undefined
        ? sample
        : Math.min(sample, 3 * known);
      estimates.set(
        className,
        known === undefined ? sample : known + WEIGHT * (bounded - known),
      );
    },
    usualMs: (className) => estimates.get(className) ?? 0,
  };
}
