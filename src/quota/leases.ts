/**
 * Leases by which an owner knows that its deputies do not decide in its place.
 * An owner gives out the share of the limit of those groups whose deputies have
 * granted it a lease. A deputy gives out the share of its group only while no
 * lease that it granted runs, so that the shares never add up to more than all.
 *
 * The load that this answers: an owner that is frozen, lost or cut off from a
 * part of the nodes. A lease is renewed only while the owner is asked.
 * @module
 */
import { sleep, type Timer } from "../time/timer.ts";
import type { Ownership, QuotaMember } from "./ownership.ts";

/** Duration of a lease. */
export const LEASE_MS = 1_500;
/** Age of a lease at which its renewal is due. */
const RENEW_AFTER_MS = 700;
/** Time after which an unanswered request for a lease is repeated. */
const RETRY_AFTER_MS = 250;
/** Age at which the shares of the groups are computed anew. */
const PARTS_LIFETIME_MS = 1_000;
/** Longest time for which an owner that was asked waits for its leases. */
const MAX_LEASE_WAIT_MS = 40;

/** A deputy that is asked for a lease. */
export type LeaseDeputy = Pick<QuotaMember, "server" | "address">;

/** Answer of a deputy to a request for a lease. */
export interface LeaseAnswer {
  /** Whether the deputy has decided in the place of the owner lately. */
  decided: boolean;
}

/** Leases that the deputies of this node have granted. */
export interface HeldLeases {
  /** Returns the share of the limit that this node may give out as an owner. */
  share(): number;
  /**
   * Requests the leases that are due. Returns a promise if this node may give
   * out less than everything until these requests have ended.
   */
  renew(): Promise<void> | undefined;
}

/** Options of {@link createHeldLeases}. */
export interface HeldLeasesOptions {
  self: string;
  ownership: Ownership;
  timer: Timer;
  /** A clock that a suspension does not stop. */
  leaseClock: () => number;
  /** Requests a lease; resolves with undefined if there is no answer. */
  request: (deputy: LeaseDeputy) => Promise<LeaseAnswer | undefined>;
  /**
   * Called when a deputy has decided in the place of this owner, before its lease
   * counts.
   */
  onDecidedByDeputy: () => void;
}

interface Lease {
  until: number;
  askedAt: number;
  /** Whether the last request was answered. */
  answered: boolean;
  pending: Promise<void> | undefined;
}

/** A group of nodes, and the lease of its deputy. */
interface Part {
  share: number;
  present: boolean;
  deputy: LeaseDeputy | undefined;
  lease: Lease | undefined;
}

/** Creates the leases of an owner that holds none yet. */
export function createHeldLeases(options: HeldLeasesOptions): HeldLeases {
  const { self, ownership, timer, leaseClock, request } = options;
  const leases = new Map<string, Lease>();
  let parts: readonly Part[] = [];
  let partsAt = -Infinity;
  let partsChangedAt = NaN;

  function leaseOf(server: string): Lease {
    let lease = leases.get(server);
    if (!lease) {
      lease = {
        until: -Infinity,
        askedAt: -Infinity,
        answered: true,
        pending: undefined,
      };
      leases.set(server, lease);
    }
    return lease;
  }

  async function renewLease(lease: Lease, deputy: LeaseDeputy): Promise<void> {
    const askedAt = leaseClock();
    lease.askedAt = askedAt;
    const answer = await request(deputy);
    lease.answered = answer !== undefined;
    if (answer?.decided) {
      options.onDecidedByDeputy();
    }
    if (answer) {
      // It runs from the request, which was before the deputy granted it.
      lease.until = Math.max(lease.until, askedAt + LEASE_MS);
    }
    lease.pending = undefined;
  }

  /** Returns the groups, computed once per change of the members or second. */
  function currentParts(): readonly Part[] {
    const now = timer.now();
    const isCurrent = partsChangedAt === ownership.changedAt &&
      now - partsAt < PARTS_LIFETIME_MS;
    if (!isCurrent) {
      parts = ownership.groups(now).map(({ name, share, present }) => {
        const deputy = ownership.deputyOf(self, name);
        return {
          share,
          present,
          deputy,
          lease: deputy && leaseOf(deputy.server),
        };
      });
      partsAt = now;
      partsChangedAt = ownership.changedAt;
    }
    return parts;
  }

  return {
    share() {
      const time = leaseClock();
      let share = 0;
      for (const part of currentParts()) {
        // Nobody else decides for a group in which there is only the owner.
        const isHeld = part.lease ? part.lease.until > time : part.present;
        share += isHeld ? part.share : 0;
      }
      return Math.min(1, share);
    },
    renew() {
      const time = leaseClock();
      const awaited: Promise<void>[] = [];
      for (const { deputy, lease } of currentParts()) {
        if (!deputy || !lease) {
          continue;
        }
        const isDue = lease.until - LEASE_MS + RENEW_AFTER_MS <= time &&
          lease.askedAt + RETRY_AFTER_MS <= time;
        // One that did not answer last time is not waited for.
        const isAwaited = lease.until <= time && lease.answered;
        if (isDue && !lease.pending) {
          lease.pending = renewLease(lease, deputy);
        }
        if (isAwaited && lease.pending) {
          awaited.push(lease.pending);
        }
      }
      return awaited.length > 0
        ? Promise.race([
          Promise.all(awaited),
          sleep(timer, MAX_LEASE_WAIT_MS),
        ]).then(() => {})
        : undefined;
    },
  };
}

/** Leases that this node has granted as a deputy. */
export interface GrantedLeases {
  /** Grants a lease to an owner. */
  grant(owner: string): LeaseAnswer;
  /** Whether this node may decide in the place of an owner. */
  mayDecideFor(owner: string): boolean;
  /** Records that it did. */
  recordDecision(owner: string): void;
}

/**
 * Creates the leases of a deputy. An earlier process of this node may have
 * granted leases that still run.
 */
export function createGrantedLeases(now: () => number): GrantedLeases {
  const startedAt = now();
  const until = new Map<string, number>();
  const decidedFor = new Set<string>();

  return {
    grant(owner) {
      until.set(owner, now() + LEASE_MS);
      return { decided: decidedFor.delete(owner) };
    },
    mayDecideFor: (owner) =>
      now() >= (until.get(owner) ?? startedAt + LEASE_MS),
    recordDecision: (owner) => void decidedFor.add(owner),
  };
}
