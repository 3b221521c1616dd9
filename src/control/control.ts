/**
 * The `control` role: a replica of the log, the state that it drives, leases,
 * and the answers to nodes and tools.
 * @module
 */
import type { z } from "zod";
import type { Result } from "neverthrow";
import { type Archive, createArchive } from "../account/archive.ts";
import { createRecorder, type Query } from "../account/events.ts";
import type { Method } from "../rpc/rpc.ts";
import { sleep } from "../time/timer.ts";
import type { ChangeResult, Command } from "./commands.ts";
import { createLeaseBook, type LeaseBook, registrationKey } from "./leases.ts";
import {
  changeMethod,
  claimMethod,
  confirmMethod,
  type ControlStatus,
  findMethod,
  type LeaderReply,
  leaveMethod,
  registerMethod,
  type Renewal,
  renewMethod,
  settleMethod,
  statusMethod,
  syncMethod,
} from "./node_methods.ts";
import type { ProposalError } from "./proposals.ts";
import { createReplica, type Replica, type ReplicaOptions } from "./replica.ts";
import { type ControlState, createControlState } from "./state.ts";

const RENEWAL_BATCH_MS = 500;
const LEASE_CHECK_MS = 500;
const CONFIRM_TIMEOUT_MS = 700;
const PROPOSAL_TIMEOUT_MS = 3_000;
const DEFAULT_LEASE_MS = 5_000;
const ACCOUNT_SEGMENT_BYTES = 32 * 1024 * 1024;
const RECORDER_CAPACITY = 1_000;

/** Options of {@link createControl}. */
export type ControlOptions = Omit<ReplicaOptions, "machine">;

/** The `control` role of a process. */
export interface Control {
  /** The state of this replica. */
  readonly state: ControlState;
  /** The replica of the log. */
  readonly replica: Replica;
  /** Starts to answer. */
  start(): Promise<void>;
  /**
   * Hands leadership over if need be, and stops. A change that waits is told
   * `unknown`; a sync that waits for a quorum is answered as not confirmed.
   */
  stop(): Promise<void>;
  /**
   * Makes a change through whichever replica leads. The end of its leadership
   * ends it with `unknown`; the time limit holds for the call to another
   * replica only. Nothing tells the leader that the caller no longer waits.
   */
  change(
    change: z.infer<typeof changeMethod.request>,
    timeoutMs?: number,
  ): Promise<LeaderReply<ChangeResult>>;
  /**
   * Whether a quorum has confirmed that this replica now holds all that was
   * accepted before the call.
   */
  confirmRead(): Promise<boolean>;
  /** Returns this replica's status. */
  status(): ControlStatus;
  /** Finds events and changes on all replicas that answer in time. */
  find(query: Query): Promise<FoundAccount>;
}

/** Events and changes found for an account. */
export interface FoundAccount {
  events: z.infer<typeof findMethod.reply>["events"];
  changes: z.infer<typeof findMethod.reply>["changes"];
  dropped: number;
  /** Replicas that did not answer, so that the account may have gaps. */
  missing: string[];
}

/** Returns a result of the replica in the shape that goes to callers. */
function replyOf<T>(result: Result<T, ProposalError>): LeaderReply<T> {
  return result.isOk()
    ? { kind: "done", value: result.value }
    : { kind: result.error.reason, leader: result.error.leader };
}

/** Creates the `control` role. */
export function createControl(options: ControlOptions): Control {
  const { vm, address, rpc, timer, logger, disk } = options;
  const supervisor = options.supervisor.child();
  const { signal } = supervisor;
  const state = createControlState();
  const replica = createReplica({
    ...options,
    supervisor,
    machine: state,
  });
  const archive: Archive = createArchive({
    disk,
    logger,
    timer,
    segmentBytes: ACCOUNT_SEGMENT_BYTES,
  });
  const recorder = createRecorder({
    source: vm,
    timer,
    version: () => state.version,
    capacity: RECORDER_CAPACITY,
  });
  const renewals = new Map<string, Renewal>();
  let lost = new Set<string>();
  let leases: LeaseBook | undefined;

  function leads(): boolean {
    return replica.status().role === "leader";
  }

  async function propose<T>(command: Command): Promise<LeaderReply<T>> {
    return replyOf(await replica.propose(command) as Result<T, ProposalError>);
  }

  /**
   * Calls the leader, wherever it is, as long as it is known. A call that fails
   * or takes too long is `unknown`; the leader is not told, and goes on.
   */
  async function callLeader<Q, T>(
    method: Method<Q, LeaderReply<T>>,
    options: {
      request: Q;
      timeoutMs: number;
      local: () => Promise<LeaderReply<T>>;
    },
  ): Promise<LeaderReply<T>> {
    const { request, timeoutMs, local } = options;
    if (leads()) {
      return await local();
    }
    const { leader } = replica.status();
    if (!leader || leader === address) {
      return { kind: "not_leader", leader: "" };
    }
    const reply = await rpc.call({ peer: leader, method, request, timeoutMs });
    return reply.isOk() ? reply.value : { kind: "unknown", leader };
  }

  async function confirmLocally(): Promise<LeaderReply<number>> {
    return replyOf(await replica.confirm());
  }

  /**
   * Whether this replica now holds all that was accepted before the call. The
   * time limits of the leader's answer and of catching up, or the stop of this
   * replica end the wait; the node is told that its view is not confirmed.
   */
  async function confirmRead(): Promise<boolean> {
    const reply = await callLeader(confirmMethod, {
      request: {},
      timeoutMs: CONFIRM_TIMEOUT_MS,
      local: confirmLocally,
    });
    if (reply.kind !== "done") {
      return false;
    }
    const deadline = timer.now() + CONFIRM_TIMEOUT_MS;
    while (timer.now() < deadline) {
      if (replica.status().commitIndex >= reply.value) {
        return true;
      }
      await sleep(timer, 10, { signal });
    }
    return false;
  }

  function unknownTo(renewal: Renewal): boolean {
    const member = state.member(renewal.server);
    return member?.incarnation !== renewal.incarnation;
  }

  function renewLocally(batch: Renewal[]): LeaderReply<{ lost: Renewal[] }> {
    if (!leads()) {
      return { kind: "not_leader", leader: replica.status().leader };
    }
    leases ??= createLeaseBook(timer);
    leases.renew(batch);
    return { kind: "done", value: { lost: batch.filter(unknownTo) } };
  }

  async function renewalTask(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, RENEWAL_BATCH_MS, { signal });
      if (renewals.size === 0) {
        continue;
      }
      const batch = [...renewals.values()];
      renewals.clear();
      const reply = await callLeader(renewMethod, {
        request: { renewals: batch },
        timeoutMs: CONFIRM_TIMEOUT_MS,
        local: () => Promise.resolve(renewLocally(batch)),
      });
      if (reply.kind === "done") {
        lost = new Set(reply.value.lost.map(registrationKey));
      }
    }
  }

  async function leaseTask(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, LEASE_CHECK_MS, { signal });
      if (!leads()) {
        leases = undefined;
        continue;
      }
      leases ??= createLeaseBook(timer);
      const leaseMs = state.site?.timeouts.lease_ms ?? DEFAULT_LEASE_MS;
      for (const member of leases.expired(state.members(), leaseMs)) {
        logger.warn("member.lease_expired", { server: member.server });
        recorder.record({
          kind: "member",
          server: member.server,
          service: member.service,
          domain: member.domain,
          cause: "the lease ran out",
        });
        await propose({
          kind: "expire",
          server: member.server,
          incarnation: member.incarnation,
          cause: "lease",
        });
      }
    }
  }

  async function accountTask(): Promise<void> {
    let role = "";
    while (!signal.aborted) {
      await sleep(timer, LEASE_CHECK_MS, { signal });
      const status = replica.status();
      if (status.role !== role) {
        role = status.role;
        recorder.record({
          kind: "leader",
          cause: `${status.identity} is ${role} in term ${status.term}`,
        });
      }
      await archive.add(recorder.take(RECORDER_CAPACITY));
    }
  }

  function handleNodes(): void {
    rpc.handle(syncMethod, async (request) => {
      const { known, renewal, confirm, events } = request;
      if (renewal) {
        renewals.set(registrationKey(renewal), renewal);
      }
      void archive.add(events);
      const confirmed = confirm ? await confirmRead() : false;
      return {
        confirmed,
        stalenessMs: Math.min(replica.stalenessMs(), Number.MAX_SAFE_INTEGER),
        leader: replica.status().leader,
        replicas: replica.addresses(),
        fleetSize: state.members().length,
        leaseLost: renewal !== undefined && lost.has(registrationKey(renewal)),
        view: state.viewSince(known),
        own: confirmed ? state.member(request.node) : undefined,
      };
    });
    rpc.handle(
      renewMethod,
      (request) => Promise.resolve(renewLocally(request.renewals)),
    );
    rpc.handle(
      registerMethod,
      (request) => propose({ kind: "register", ...request }),
    );
    rpc.handle(
      leaveMethod,
      (request) => propose({ kind: "expire", cause: "left", ...request }),
    );
    rpc.handle(claimMethod, (request) => propose(request));
    rpc.handle(
      settleMethod,
      (request) => propose({ kind: "settle", ...request }),
    );
    rpc.handle(changeMethod, (request) => propose(request));
    rpc.handle(confirmMethod, confirmLocally);
  }

  function changesMatching(query: Query): FoundAccount["changes"] {
    return state.history().filter((change) =>
      (query.since === undefined || change.wallTime >= query.since) &&
      (query.until === undefined || change.wallTime <= query.until) &&
      (query.domain === undefined || change.target === query.domain) &&
      (query.server === undefined || change.target === query.server)
    );
  }

  async function findLocally(
    query: Query,
  ): Promise<z.infer<typeof findMethod.reply>> {
    const broad = query.requestId === undefined && query.key === undefined;
    return {
      events: await archive.find(query),
      changes: broad ? changesMatching(query) : [],
      dropped: archive.dropped,
    };
  }

  function handleTools(): void {
    rpc.handle(findMethod, findLocally);
    rpc.handle(statusMethod, () => Promise.resolve(status()));
  }

  function status(): ControlStatus {
    return {
      vm,
      ...replica.status(),
      version: state.version,
      claims: state.claimCount(),
      members: state.members(),
      domainsOut: [...state.domainsOut],
      serversOut: [...state.serversOut],
      eventsDropped: archive.dropped,
    };
  }

  async function find(query: Query): Promise<FoundAccount> {
    const peers = replica.addresses().filter((peer) => peer !== address);
    const replies = await Promise.all(peers.map((peer) =>
      rpc.call({
        peer,
        method: findMethod,
        request: query,
        timeoutMs: CONFIRM_TIMEOUT_MS,
      })
    ));
    const local = await findLocally(query);
    const found = replies.flatMap((reply) => reply.isOk() ? [reply.value] : []);
    const all = [local, ...found];
    return {
      events: all.flatMap((part) => part.events)
        .sort((one, other) => one.wallTime - other.wallTime),
      changes: all.map((part) => part.changes)
        .sort((one, other) => other.length - one.length)[0],
      dropped: all.reduce((sum, part) => sum + part.dropped, 0),
      missing: peers.filter((_, index) => replies[index].isErr()),
    };
  }

  return {
    state,
    replica,
    status,
    find,
    confirmRead,
    change: (change, timeoutMs = PROPOSAL_TIMEOUT_MS) =>
      callLeader(changeMethod, {
        request: change,
        timeoutMs: Math.max(1, Math.min(timeoutMs, PROPOSAL_TIMEOUT_MS)),
        local: () => propose<ChangeResult>(change),
      }),
    async start() {
      handleNodes();
      handleTools();
      await replica.start();
      supervisor.start("control.renewals", renewalTask);
      supervisor.start("control.leases", leaseTask);
      supervisor.start("control.account", accountTask);
    },
    async stop() {
      await replica.stop();
      await supervisor.stop();
      await disk.close();
    },
  };
}
