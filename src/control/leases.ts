/**
 * Leases of members, kept in the leader's memory. A new leader gives every
 * member a whole lease.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { Member } from "./commands.ts";
import type { Renewal } from "./node_methods.ts";

/** Leases of members. */
export interface LeaseBook {
  /** Renews leases. */
  renew(renewals: readonly Renewal[]): void;
  /**
   * This process was held up for a time, in which renewals may have come that
   * it has not read: the time counts against no lease.
   */
  heldUp(durationMs: number): void;
  /** Returns the members whose lease has run out. */
  expired(members: readonly Member[], leaseMs: number): Member[];
}

/** Tells one registration of a server from the next one. */
export function registrationKey({ server, incarnation }: Renewal): string {
  return `${server} ${incarnation}`;
}

/** Creates leases that each start when their member is first seen. */
export function createLeaseBook(timer: Timer): LeaseBook {
  const renewedAt = new Map<string, number>();

  return {
    renew(renewals) {
      for (const renewal of renewals) {
        renewedAt.set(registrationKey(renewal), timer.now());
      }
    },
    heldUp(durationMs) {
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
