/**
 * Requests that are suspected of crashing backend servers, by service. Guards
 * share them with each other; control keeps them for guards that were not there.
 * The registry is deterministic: the same entries give the same suspicions on
 * every replica.
 * @module
 */
import { z } from "zod";

/** Most requests that one crash accuses. */
export const MAX_FINGERPRINTS_PER_CRASH = 64;

/** What a guard reports: crashes, and suspects that ran alone and were answered. */
export const suspicionReportSchema = z.object({
  service: z.string(),
  crashes: z.array(z.object({
    /** Identifies the crash. */
    crash: z.string().max(512),
    /** Fingerprints of the requests that were in flight. */
    fingerprints: z.array(z.string().max(128)).max(MAX_FINGERPRINTS_PER_CRASH),
  })),
  cleared: z.array(z.string().max(128)),
});
/**
 * What a guard reports: crashes, and suspects that ran alone and were answered.
 */
export type SuspicionReport = z.infer<typeof suspicionReportSchema>;

/** A request that was in flight at crashes. */
export const suspectSchema = z.object({
  fingerprint: z.string(),
  /** The crashes, at least one. */
  crashes: z.array(z.string()),
  /** Time since the last of them in milliseconds. */
  ageMs: z.number(),
});
/** A request that was in flight at crashes. */
export type Suspect = z.infer<typeof suspectSchema>;

/** The suspects of one service. */
export const serviceSuspectsSchema = z.object({
  service: z.string(),
  /** Log index of the last entry that changed them. */
  revision: z.number(),
  suspects: z.array(suspectSchema),
});
/** The suspects of one service. */
export type ServiceSuspects = z.infer<typeof serviceSuspectsSchema>;

/** A suspect as stored in a snapshot. */
interface StoredSuspect {
  fingerprint: string;
  crashes: string[];
  /** Log time of the last crash in milliseconds. */
  at: number;
}

/** The suspects of one service as stored in a snapshot, oldest first. */
export interface StoredSuspicions {
  service: string;
  revision: number;
  suspects: StoredSuspect[];
}

/** The log entry of a report, and the limits that apply to it. */
export interface SuspicionContext {
  index: number;
  /** Log time of the entry in milliseconds. */
  logTime: number;
  /** Crashes from which a suspect cannot be cleared. */
  crashes: number;
  /** Time for which a suspect is kept after its last crash, in ms. */
  keepMs: number;
}

/** Suspected requests by service. */
export interface SuspicionRegistry {
  /** Applies a report; a crash that is reported again counts once. */
  report(report: SuspicionReport, context: SuspicionContext): void;
  /** Returns the suspects of a service if they changed after a revision. */
  changedSince(
    known: { service: string; revision: number },
    logTime: number,
  ): ServiceSuspects | undefined;
  /** Returns all suspicions, for a snapshot. */
  entries(): StoredSuspicions[];
}

/** Most suspects that are kept for a service. */
export const MAX_SUSPECTS = 256;
/** Most crashes that are kept for a suspect. */
const MAX_CRASHES = 16;

/** Drops the suspects with the fewest crashes, the oldest first. */
function trim(suspects: Map<string, StoredSuspect>): void {
  const excess = suspects.size - MAX_SUSPECTS;
  if (excess <= 0) {
    return;
  }
  // The sort is stable, and a map keeps the order of its insertions.
  [...suspects.values()]
    .sort((one, other) => one.crashes.length - other.crashes.length)
    .slice(0, excess)
    .forEach(({ fingerprint }) => suspects.delete(fingerprint));
}

/** Creates a registry from the suspicions of a snapshot. */
export function createSuspicionRegistry(
  stored: StoredSuspicions[],
): SuspicionRegistry {
  const services = new Map(
    stored.map(({ service, revision, suspects }) => [service, {
      revision,
      suspects: new Map(suspects.map((one) => [one.fingerprint, one])),
    }]),
  );

  function serviceOf(name: string) {
    const service = services.get(name) ??
      { revision: 0, suspects: new Map<string, StoredSuspect>() };
    services.set(name, service);
    return service;
  }

  /** Drops suspects past their time, and services without any. */
  function expire({ logTime, keepMs }: SuspicionContext): void {
    for (const [name, { suspects }] of services) {
      for (const [fingerprint, { at }] of suspects) {
        if (logTime - at > keepMs) {
          suspects.delete(fingerprint);
        }
      }
      if (suspects.size === 0) {
        services.delete(name);
      }
    }
  }

  return {
    report({ service: name, crashes, cleared }, context) {
      expire(context);
      const { suspects } = serviceOf(name);
      for (const { crash, fingerprints } of crashes) {
        for (const fingerprint of fingerprints) {
          const before = suspects.get(fingerprint)?.crashes ?? [];
          const all = new Set([...before, crash]);
          suspects.delete(fingerprint);
          suspects.set(fingerprint, {
            fingerprint,
            crashes: [...all].slice(-MAX_CRASHES),
            at: context.logTime,
          });
        }
      }
      for (const fingerprint of cleared) {
        const count = suspects.get(fingerprint)?.crashes.length ?? 0;
        if (count < context.crashes) {
          suspects.delete(fingerprint);
        }
      }
      trim(suspects);
      serviceOf(name).revision = context.index;
    },
    changedSince({ service: name, revision }, logTime) {
      const service = services.get(name);
      if (!service || service.revision <= revision) {
        return undefined;
      }
      return {
        service: name,
        revision: service.revision,
        suspects: [...service.suspects.values()].map((
          { fingerprint, crashes, at },
        ) => ({ fingerprint, crashes, ageMs: Math.max(0, logTime - at) })),
      };
    },
    entries: () =>
      [...services].map(([service, { revision, suspects }]) => ({
        service,
        revision,
        suspects: [...suspects.values()],
      })),
  };
}
