/**
 * Renews and expires the leases of members: a follower forwards renewals to the
 * leader, and the leader removes members whose lease has expired.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Logger } from "../core/logger.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { Member } from "./commands.ts";
import type { LeaderCalls } from "./leader_calls.ts";
import {
  createLeaseTable,
  type LeaseTable,
  registrationKey,
} from "./leases.ts";
import { type LeaderReply, type Renewal, renewMethod } from "./node_methods.ts";
import type { ControlState } from "./state.ts";

/** Interval at which queued renewals are forwarded, in milliseconds. */
const RENEWAL_BATCH_INTERVAL_MS = 500;
/** Timeout of a call that forwards renewals, in milliseconds. */
const RENEWAL_TIMEOUT_MS = 700;
/**
 * Time for which a registration counts as lost after the leader last reported
 * it, in milliseconds.
 */
const LOST_RETENTION_MS = 60_000;
/** Interval at which the leader checks for expired leases, in milliseconds. */
const LEASE_CHECK_INTERVAL_MS = 500;
/** Duration of a lease while no configuration is accepted, in milliseconds. */
const DEFAULT_LEASE_MS = 5_000;

/** Options of {@link createLeaseManager}. */
export interface LeaseManagerOptions {
  state: ControlState;
  calls: LeaderCalls;
  /** Returns the RPC address of the leader, or "" if none is known. */
  leader: () => string;
  recorder: Recorder;
  timer: Timer;
  logger: Logger;
  /** Aborted when the replica stops; queued renewals are then dropped. */
  signal: AbortSignal;
}

/** Renews and expires the leases of members. */
export interface LeaseManager {
  /** Queues a node's renewal for the next batch that goes to the leader. */
  queueRenewal(renewal: Renewal): void;
  /**
   * Whether the leader's latest answer about a registration reported it as lost.
   */
  isLost(renewal: Renewal): boolean;
  /**
   * Renews leases as leader. A registration is reported as lost only after a
   * quorum has confirmed that this replica is the leader and has applied every
   * accepted entry.
   */
  renew(batch: Renewal[]): Promise<LeaderReply<{ lost: Renewal[] }>>;
  /** Forwards queued renewals to the leader until the replica stops. */
  forwardRenewals(): Promise<void>;
  /**
   * Removes members whose lease has expired, whenever this replica is the
   * leader, until the replica stops.
   */
  expire(): Promise<void>;
}

/** Creates a manager without leases. */
export function createLeaseManager(options: LeaseManagerOptions): LeaseManager {
  const { state, calls, recorder, timer, logger, signal } = options;
  const renewals = new Map<string, Renewal>();
  /** Registrations reported as lost, with the time of the leader's report. */
  const lost = new Map<string, number>();
  let leases: LeaseTable | undefined;

  /**
   * Records which registrations of a batch the leader reported as lost, and
   * drops records past their retention.
   */
  function recordLost(batch: Renewal[], lostRenewals: Renewal[]): void {
    const now = timer.now();
    batch.forEach((renewal) => lost.delete(registrationKey(renewal)));
    lostRenewals.forEach((renewal) => lost.set(registrationKey(renewal), now));
    for (const [key, since] of lost) {
      if (now - since > LOST_RETENTION_MS) {
        lost.delete(key);
      }
    }
  }

  function isUnregistered(renewal: Renewal): boolean {
    const member = state.member(renewal.server);
    return member?.incarnation !== renewal.incarnation;
  }

  async function renew(
    batch: Renewal[],
  ): Promise<LeaderReply<{ lost: Renewal[] }>> {
    if (!calls.isLeader()) {
      return { kind: "not_leader", leader: options.leader() };
    }
    leases ??= createLeaseTable(timer);
    leases.renew(batch);
    const confirmed = batch.some(isUnregistered)
      ? await calls.confirmLocally()
      : undefined;
    return confirmed && confirmed.kind !== "done"
      ? confirmed
      : { kind: "done", value: { lost: batch.filter(isUnregistered) } };
  }

  /** Proposes to remove a member; records an event only if it was removed. */
  async function expireOne(member: Member): Promise<void> {
    const { server, service, domain, incarnation } = member;
    const reply = await calls.propose<boolean>({
      kind: "expire",
      server,
      incarnation,
      cause: "lease",
    });
    if (reply.kind !== "done") {
      logger.warn("member.expiry_failed", { server, reason: reply.kind });
      return;
    }
    if (reply.value) {
      logger.warn("member.lease_expired", { server });
      recorder.record({
        kind: "member",
        server,
        service,
        domain,
        cause: "the lease ran out",
      });
    }
  }

  return {
    queueRenewal: (renewal) => renewals.set(registrationKey(renewal), renewal),
    isLost: (renewal) => lost.has(registrationKey(renewal)),
    renew,
    async forwardRenewals() {
      while (!signal.aborted) {
        await sleep(timer, RENEWAL_BATCH_INTERVAL_MS, { signal });
        if (renewals.size === 0) {
          continue;
        }
        const batch = [...renewals.values()];
        renewals.clear();
        const reply = await calls.call(renewMethod, {
          request: { renewals: batch },
          timeoutMs: RENEWAL_TIMEOUT_MS,
          local: () => renew(batch),
        });
        if (reply.kind === "done") {
          recordLost(batch, reply.value.lost);
        }
      }
    },
    async expire() {
      let checkedAt = timer.now();
      while (!signal.aborted) {
        await sleep(timer, LEASE_CHECK_INTERVAL_MS, { signal });
        const delayMs = timer.now() - checkedAt - LEASE_CHECK_INTERVAL_MS;
        checkedAt = timer.now();
        if (!calls.isLeader()) {
          leases = undefined;
          continue;
        }
        leases ??= createLeaseTable(timer);
        leases.extendAll(Math.max(0, delayMs));
        const leaseMs = state.site?.timeouts.lease_ms ?? DEFAULT_LEASE_MS;
        for (const member of leases.expired(state.members(), leaseMs)) {
          await expireOne(member);
        }
      }
    },
  };
}
