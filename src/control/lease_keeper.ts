/**
 * Renews and ends the leases of members: a follower passes renewals on to the
 * leader, and the leader removes members whose lease has run out.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Logger } from "../core/logger.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { Member } from "./commands.ts";
import type { LeaderCalls } from "./leader_calls.ts";
import { createLeaseBook, type LeaseBook, registrationKey } from "./leases.ts";
import { type LeaderReply, type Renewal, renewMethod } from "./node_methods.ts";
import type { ControlState } from "./state.ts";

/** Interval at which renewals are passed on together, in milliseconds. */
const RENEWAL_BATCH_MS = 500;
/** Longest wait for the leader to take renewals, in milliseconds. */
const RENEWAL_TIMEOUT_MS = 700;
/** Time for which an answer is kept that no node asks for, in milliseconds. */
const LOST_KEPT_MS = 60_000;
/** Interval at which a leader looks at leases, in milliseconds. */
const LEASE_CHECK_MS = 500;
/** Lease of a member before there is a configuration, in milliseconds. */
const DEFAULT_LEASE_MS = 5_000;

/** Options of {@link createLeaseKeeper}. */
export interface LeaseKeeperOptions {
  state: ControlState;
  calls: LeaderCalls;
  /** RPC address of the leader, or empty. */
  leader: () => string;
  recorder: Recorder;
  timer: Timer;
  logger: Logger;
  /** Aborted when the replica stops; renewals not passed on yet are lost. */
  signal: AbortSignal;
}

/** Renews and ends the leases of members. */
export interface LeaseKeeper {
  /** Takes a node's renewal, to be passed on with the next batch. */
  note(renewal: Renewal): void;
  /** Whether the leader called a registration lost when it was last asked. */
  isLost(renewal: Renewal): boolean;
  /**
   * Renews leases as leader. A registration is called lost only once a quorum
   * has confirmed that this replica leads and holds all that was accepted.
   */
  renew(batch: Renewal[]): Promise<LeaderReply<{ lost: Renewal[] }>>;
  /** Passes renewals on until the replica stops. */
  passOn(): Promise<void>;
  /** Removes members without a lease, while this replica leads. */
  expire(): Promise<void>;
}

/** Creates a keeper that holds no lease. */
export function createLeaseKeeper(options: LeaseKeeperOptions): LeaseKeeper {
  const { state, calls, recorder, timer, logger, signal } = options;
  const renewals = new Map<string, Renewal>();
  /** Registrations that the leader called lost, and when it did. */
  const lost = new Map<string, number>();
  let leases: LeaseBook | undefined;

  /** Notes the leader's answer to a batch; what is not asked for is dropped. */
  function noteLost(batch: Renewal[], gone: Renewal[]): void {
    const now = timer.now();
    batch.forEach((renewal) => lost.delete(registrationKey(renewal)));
    gone.forEach((renewal) => lost.set(registrationKey(renewal), now));
    for (const [key, since] of lost) {
      if (now - since > LOST_KEPT_MS) {
        lost.delete(key);
      }
    }
  }

  function unknownTo(renewal: Renewal): boolean {
    const member = state.member(renewal.server);
    return member?.incarnation !== renewal.incarnation;
  }

  async function renew(
    batch: Renewal[],
  ): Promise<LeaderReply<{ lost: Renewal[] }>> {
    if (!calls.leads()) {
      return { kind: "not_leader", leader: options.leader() };
    }
    leases ??= createLeaseBook(timer);
    leases.renew(batch);
    const confirmed = batch.some(unknownTo)
      ? await calls.confirmHere()
      : undefined;
    return confirmed && confirmed.kind !== "done"
      ? confirmed
      : { kind: "done", value: { lost: batch.filter(unknownTo) } };
  }

  /** Removes a member; only what was accepted is recorded. */
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
    note: (renewal) => renewals.set(registrationKey(renewal), renewal),
    isLost: (renewal) => lost.has(registrationKey(renewal)),
    renew,
    async passOn() {
      while (!signal.aborted) {
        await sleep(timer, RENEWAL_BATCH_MS, { signal });
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
          noteLost(batch, reply.value.lost);
        }
      }
    },
    async expire() {
      let lookedAt = timer.now();
      while (!signal.aborted) {
        await sleep(timer, LEASE_CHECK_MS, { signal });
        const lateMs = timer.now() - lookedAt - LEASE_CHECK_MS;
        lookedAt = timer.now();
        if (!calls.leads()) {
          leases = undefined;
          continue;
        }
        leases ??= createLeaseBook(timer);
        leases.heldUp(Math.max(0, lateMs));
        const leaseMs = state.site?.timeouts.lease_ms ?? DEFAULT_LEASE_MS;
        for (const member of leases.expired(state.members(), leaseMs)) {
          await expireOne(member);
        }
      }
    },
  };
}
