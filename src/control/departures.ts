/**
 * Departures of backend servers: runs that were acknowledged as leaving. A run
 * may serve on for a while, and an earlier announcement of it may arrive late,
 * so that a restarted node could not tell it from a run that has just begun.
 * The registry is deterministic: the same entries give the same departures on
 * every replica.
 * @module
 */
import { z } from "zod";

/** What has left; see {@link Departure}. */
export const departureSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("boot"), boot: z.string().min(1).max(512) }),
  z.object({
    kind: z.literal("instance"),
    instance: z.string().min(1).max(512),
    startedBy: z.number(),
  }),
]);
/**
 * What has left: one boot, or every run of an instance that started by a Unix
 * time in milliseconds.
 */
export type Departure = z.infer<typeof departureSchema>;

/** A departure with the log time of its record in milliseconds. */
export interface StoredDeparture {
  departure: Departure;
  at: number;
}

/** Departures by VM. */
export interface DepartureRegistry {
  /** Records a departure; one that is recorded again is kept from now on. */
  record(server: string, departure: Departure, logTime: number): void;
  /** Whether a boot was recorded as leaving. */
  hasLeft(server: string, boot: string): boolean;
  /** Returns what has left on a VM, oldest first. */
  of(server: string): Departure[];
  /** Returns all departures, for a snapshot. */
  entries(): [string, StoredDeparture[]][];
}

/**
 * Time for which a departure is kept, in milliseconds. A server that leaves has
 * exited by then, and its announcements have arrived.
 */
export const DEPARTURE_RETENTION_MS = 600_000;
/** Most departures that are kept for a VM. */
export const MAX_DEPARTURES = 32;

function isSame(one: Departure, other: Departure): boolean {
  if (one.kind === "boot" || other.kind === "boot") {
    return one.kind === "boot" && other.kind === "boot" &&
      one.boot === other.boot;
  }
  return one.instance === other.instance;
}

/** Creates a registry from the departures of a snapshot. */
export function createDepartureRegistry(
  stored: [string, StoredDeparture[]][],
): DepartureRegistry {
  const departures = new Map(stored);

  function dropExpired(logTime: number): void {
    for (const [server, list] of departures) {
      const kept = list.filter(({ at }) =>
        logTime - at <= DEPARTURE_RETENTION_MS
      );
      if (kept.length === 0) {
        departures.delete(server);
      } else if (kept.length < list.length) {
        departures.set(server, kept);
      }
    }
  }

  return {
    record(server, departure, logTime) {
      dropExpired(logTime);
      const others = (departures.get(server) ?? [])
        .filter((one) => !isSame(one.departure, departure));
      const list = [...others, { departure, at: logTime }];
      departures.set(server, list.slice(-MAX_DEPARTURES));
    },
    hasLeft: (server, boot) =>
      (departures.get(server) ?? []).some(({ departure }) =>
        departure.kind === "boot" && departure.boot === boot
      ),
    of: (server) =>
      (departures.get(server) ?? []).map(({ departure }) => departure),
    entries: () => [...departures],
  };
}
