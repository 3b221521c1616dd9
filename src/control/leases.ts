/**
 * Leases of members, held in the leader's memory only. A new leader grants
 * every member a full lease.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { Member } from "./commands.ts";
import type { Renewal } from "./node_methods.ts";

/** Leases of members. */
export interface LeaseTable {
  /** Renews leases. */
  renew(renewals: readonly Renewal[]): void;
  /**
   * Extends all leases by a time for which this process stalled: it may not have
   * read renewals that arrived during that time.
   */
  extendAll(durationMs: number): void;
  /** Returns the members whose lease has expired. */
  expired(members: readonly Member[], leaseMs: number): Member[];
}

/** Returns a key that identifies one registration of a server. */
export function registrationKey({ server, incarnation }: Renewal): string {
  return `${server} ${incarnation}`;
}

/** Creates a table in which a lease starts when its member is first seen. */
export function createLeaseTable(timer: Timer): LeaseTable {
  const renewedAt = new Map<string, number>();

  return {
    renew(renewals) {
      for (const renewal of renewals) {
        renewedAt.set(registrationKey(renewal), timer.now());
      }
    },
    extendAll(durationMs) {
      for (const [name, since] of renewedAt) {
        renewedAt.set(name, Math.min(timer.now(), since + durationMs));
      }
    },
    expired(members, leaseMs) {
      const current = new Set(members.map(registrationKey));
      for (const name of renewedAt.keys()) {
        if (!current.has(name)) {
          renewedAt.delete(name);
        }
      }
      return members.filter((member) => {
        const name = registrationKey(member);
        const since = renewedAt.get(name) ?? timer.now();
        renewedAt.set(name, since);
        return timer.now() - since > leaseMs;
      });
    },
  };
}
