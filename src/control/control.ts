/**
 * The `control` role: a replica of the log with the state that it replicates,
 * the leases of members, the account, and the RPC handlers for nodes and tools.
 * @module
 */
import type { z } from "zod";
import { createArchive } from "../account/archive.ts";
import { createRecorder, type Query } from "../account/events.ts";
import { sleep } from "../time/timer.ts";
import {
  type AccountSearchResult,
  createAccountSearch,
} from "./account_search.ts";
import type { ChangeResult } from "./commands.ts";
import { createLeaderCalls } from "./leader_calls.ts";
import { createLeaseManager } from "./lease_manager.ts";
import {
  handleLeaderCalls,
  handleSyncs,
  type NodeHandlerParts,
} from "./node_handlers.ts";
import {
  changeMethod,
  type ControlStatus,
  findMethod,
  type LeaderReply,
  statusMethod,
} from "./node_methods.ts";
import { createReplica, type Replica, type ReplicaOptions } from "./replica.ts";
import { type ControlState, createControlState } from "./state.ts";

export type { AccountSearchResult } from "./account_search.ts";

/** Interval at which recorded events are written, in milliseconds. */
const EVENT_WRITE_INTERVAL_MS = 500;
/** Maximum timeout of a change in milliseconds. */
const PROPOSAL_TIMEOUT_MS = 3_000;
/** Size of one of the two segments of the account, in bytes. */
const ACCOUNT_SEGMENT_BYTES = 32 * 1024 * 1024;
/** Maximum number of this replica's events that are queued for the account. */
const RECORDER_CAPACITY = 1_000;

/** Options of {@link createControl}. */
export type ControlOptions = Omit<ReplicaOptions, "machine">;

/** The `control` role of a process. */
export interface Control {
  /** The state of this replica. */
  readonly state: ControlState;
  /** The replica of the log. */
  readonly replica: Replica;
  /** Registers the RPC handlers, and starts the replica and its tasks. */
  start(): Promise<void>;
  /**
   * Stops, after handing leadership over if this replica is the leader. A
   * pending change gets the reply `unknown`; a sync that waits for a quorum is
   * answered as not confirmed.
   */
  stop(): Promise<void>;
  /**
   * Proposes a change to the leader, which may be this replica. The reply is
   * `unknown` if the leadership ends or the timeout passes first. The leader is
   * not notified that the caller no longer waits.
   */
  change(
    change: z.infer<typeof changeMethod.request>,
    timeoutMs?: number,
  ): Promise<LeaderReply<ChangeResult>>;
  /**
   * Whether a quorum has confirmed that this replica now has all entries that
   * were accepted before the call.
   */
  confirmRead(): Promise<boolean>;
  /** Returns this replica's status. */
  status(): ControlStatus;
  /** Finds events and changes on all replicas that answer in time. */
  find(query: Query): Promise<AccountSearchResult>;
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
  const archive = createArchive({
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
  const calls = createLeaderCalls({ replica, address, rpc, timer, signal });
  const leases = createLeaseManager({
    state,
    calls,
    leader: () => replica.status().leader,
    recorder,
    timer,
    logger,
    signal,
  });
  const search = createAccountSearch({
    state,
    archive,
    rpc,
    peers: () => replica.addresses().filter((peer) => peer !== address),
  });
  const parts: NodeHandlerParts = {
    rpc,
    state,
    replica,
    calls,
    leases,
    archive,
    logger,
  };

  /** Writes the recorded events, and records an event when the role changes. */
  async function writeEvents(): Promise<void> {
    let role = "";
    while (!signal.aborted) {
      await sleep(timer, EVENT_WRITE_INTERVAL_MS, { signal });
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

  return {
    state,
    replica,
    status,
    find: search.find,
    confirmRead: calls.confirmRead,
    change: (change, timeoutMs = PROPOSAL_TIMEOUT_MS) =>
      calls.call(changeMethod, {
        request: change,
        timeoutMs: Math.max(1, Math.min(timeoutMs, PROPOSAL_TIMEOUT_MS)),
        local: () => calls.propose<ChangeResult>(change),
      }),
    async start() {
      handleSyncs(parts);
      handleLeaderCalls(parts);
      rpc.handle(findMethod, search.findLocally);
      rpc.handle(statusMethod, () => Promise.resolve(status()));
      await replica.start();
      supervisor.start("control.renewals", leases.forwardRenewals);
      supervisor.start("control.leases", leases.expire);
      supervisor.start("control.account", writeEvents);
    },
    async stop() {
      await replica.stop();
      await supervisor.stop();
      await disk.close();
    },
  };
}
