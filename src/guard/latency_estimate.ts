/**
 * How long each kind of request usually takes at a backend server that works
 * at its usual speed.
 * @module
 */

/** What a guard has learned of the times of requests. */
export interface LatencyEstimate {
  /** Learns from a request that began at some slowness. */
  note(className: string, latencyMs: number, slowness: number): void;
  /** Returns the usual time of a kind in ms; 0 while it is unknown. */
  of(className: string): number;
}

const MAX_CLASSES = 1_000;
const WEIGHT = 0.1;

/** Creates times that know nothing yet. */
export function createLatencyEstimate(): LatencyEstimate {
  const times = new Map<string, number>();
  return {
    note(className, latencyMs, slowness) {
      const sample = latencyMs / Math.max(1, slowness);
      const known = times.get(className);
      if (known === undefined && times.size >= MAX_CLASSES) {
        return;
      }
      // One slow start that nobody noticed must not count much.
      const bounded = known === undefined
        ? sample
        : Math.min(sample, 3 * known);
      times.set(
        className,
        known === undefined ? sample : known + WEIGHT * (bounded - known),
      );
    },
    of: (className) => times.get(className) ?? 0,
  };
}
