/**
 * Quarantine of requests that crash backend servers. A request that was in
 * flight at a crash is suspect and runs alone the next time. A request that was
 * in flight at several crashes is refused. A suspect that runs alone and is
 * answered is cleared.
 * @module
 */
import type { Timer } from "../time/timer.ts";

/** Status of a request's fingerprint. */
export type Suspicion = "none" | "suspect" | "quarantined";

/** Limits of a quarantine. */
export interface QuarantineLimits {
  /** Crashes after which a fingerprint is quarantined. */
  crashes: number;
  /** Time for which a fingerprint is kept after its last crash, in ms. */
  keepMs: number;
}

/** Fingerprints of requests that were in flight at a crash. */
export interface Quarantine {
  /** Number of fingerprints that are kept. */
  readonly size: number;
  /**
   * Records a crash for a fingerprint, some milliseconds ago; the same crash
   * counts once.
   */
  addCrash(fingerprint: string, crash: string, ageMs?: number): Suspicion;
  /** Removes a suspect, but no quarantined one; returns whether it did so. */
  clear(fingerprint: string): boolean;
  /** Returns the status of a fingerprint. */
  suspicionOf(fingerprint: string): Suspicion;
}

interface CrashRecord {
  crashes: Set<string>;
  at: number;
}

const MAX_FINGERPRINTS = 10_000;

/** Creates an empty quarantine. */
export function createQuarantine(
  timer: Timer,
  limits: () => QuarantineLimits,
): Quarantine {
  const records = new Map<string, CrashRecord>();

  function current(fingerprint: string): CrashRecord | undefined {
    const record = records.get(fingerprint);
    if (record && timer.now() - record.at > limits().keepMs) {
      records.delete(fingerprint);
      return undefined;
    }
    return record;
  }

  function suspicionOf(fingerprint: string): Suspicion {
    const count = current(fingerprint)?.crashes.size ?? 0;
    if (count === 0) {
      return "none";
    }
    return count >= limits().crashes ? "quarantined" : "suspect";
  }

  return {
    get size() {
      return records.size;
    },
    addCrash(fingerprint, crash, ageMs = 0) {
      const at = timer.now() - ageMs;
      const record = current(fingerprint) ?? { crashes: new Set<string>(), at };
      record.crashes.add(crash);
      record.at = Math.max(record.at, at);
      records.delete(fingerprint);
      records.set(fingerprint, record);
      if (records.size > MAX_FINGERPRINTS) {
        records.delete(records.keys().next().value!);
      }
      return suspicionOf(fingerprint);
    },
    clear(fingerprint) {
      return suspicionOf(fingerprint) === "suspect" &&
        records.delete(fingerprint);
    },
    suspicionOf,
  };
}
