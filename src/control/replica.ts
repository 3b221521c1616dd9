/**
 * One replica of the log. Its parts each own their state; here they are wired.
 * @module
 */
import type { Result } from "neverthrow";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createSerial, type Supervisor } from "../core/tasks.ts";
import type { Disk } from "../disk/disk.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { Timer } from "../time/timer.ts";
import { createBallot } from "./ballot.ts";
import { createDurableMarks } from "./durable_marks.ts";
import { createElections } from "./elections.ts";
import {
  handleHandover,
  handleHellos,
  handleJoins,
} from "./entrance_handlers.ts";
import { handleAppends, handleSnapshots } from "./follower_handlers.ts";
import { askToJoin } from "./joining.ts";
import { createKnownPeers } from "./known_peers.ts";
import { createLeaderContact } from "./leader_contact.ts";
import { createLocalReplica, type Role } from "./local_replica.ts";
import { createLogStore, NO_MEMBERS } from "./log_store.ts";
import type { Machine } from "./machine.ts";
import { createOwnLeadership } from "./own_leadership.ts";
import type { ProposalError, ProposalResult } from "./proposals.ts";
import { createRecovery } from "./recovery.ts";
import type { ReplicaParts } from "./replica_parts.ts";
import { DEFAULT_TUNING, type ReplicaTuning } from "./tuning.ts";
import { handleVotes } from "./vote_handler.ts";

/** Options of {@link createReplica}. */
export interface ReplicaOptions {
  /** Name of the VM. */
  vm: string;
  /** RPC address of this replica. */
  address: string;
  /** RPC addresses of the cluster's first replicas by VM name. */
  founders: Record<string, string>;
  /** Whether an empty disk may begin a new cluster; true by default. */
  mayFound?: boolean;
  /** Driven by committed entries. */
  machine: Machine;
  /** Data folder. */
  disk: Disk;
  /** Calls to and from peers; its handlers are set here. */
  rpc: Rpc;
  /** Clock and timers. */
  timer: Timer;
  /** Randomness. */
  random: Random;
  /** Receives events. */
  logger: Logger;
  /** Parent of the replica's tasks. */
  supervisor: Supervisor;
  /** Times and sizes. */
  tuning?: Partial<ReplicaTuning>;
}

/** A replica's view of itself. */
export interface ReplicaStatus {
  identity: string;
  role: Role;
  term: number;
  leader: string;
  lastIndex: number;
  commitIndex: number;
  snapshotIndex: number;
  voters: string[];
  learners: string[];
  failure: string;
}

/** One replica of the log. */
export interface Replica {
  /** Reads the disk and enters the cluster in the background. */
  start(): Promise<void>;
  /**
   * Hands leadership over if need be, and stops. Proposals that wait are told
   * `unknown`, confirmed reads `not_leader`; calls under way are answered.
   */
  stop(): Promise<void>;
  /**
   * Appends a command and returns its result once it is applied. The end of
   * leadership ends the wait; no time limit does.
   */
  propose(command: unknown): Promise<ProposalResult>;
  /**
   * Confirms with a quorum that this replica leads and that everything
   * accepted before the call is applied here. The end of leadership or an
   * election timeout without a quorum ends it with `not_leader`.
   */
  confirm(): Promise<Result<number, ProposalError>>;
  /** Returns the replica's view of itself. */
  status(): ReplicaStatus;
  /** RPC addresses of all replicas that are known, this one included. */
  addresses(): string[];
  /** Milliseconds since this replica last heard from a quorum's leader. */
  stalenessMs(): number;
}

/** Creates a replica. */
export function createReplica(options: ReplicaOptions): Replica {
  const { address, machine, rpc, timer, random, logger, founders } = options;
  const supervisor = options.supervisor.child();
  const { signal } = supervisor;
  const store = createLogStore(options.disk);
  const local = createLocalReplica(options);
  const contact = createLeaderContact(timer);
  const marks = createDurableMarks();
  const ballot = createBallot({
    store,
    onNewerTerm: () => leadership.stepDown("newer term"),
    onFailure: (error) => recovery.fail(error),
  });
  const parts: ReplicaParts = {
    local,
    ballot,
    contact,
    serial: createSerial(),
    rpc,
    timer,
    logger,
    tuning: { ...DEFAULT_TUNING, ...options.tuning },
  };
  const leadership = createOwnLeadership({ parts, marks, supervisor });
  const elections = createElections({
    parts,
    random,
    signal,
    onWon: leadership.begin,
  });
  const peers = createKnownPeers({
    founders,
    membership: () => local.log?.membership ?? NO_MEMBERS,
  });
  const recovery = createRecovery({
    parts,
    store,
    machine,
    random,
    supervisor,
    elections,
    leadership,
    peers,
    founders,
    mayFound: options.mayFound ?? true,
  });

  async function enter(): Promise<void> {
    try {
      await recovery.enter();
    } catch (error) {
      // It enters once the disk works; the tasks below wait for that.
      recovery.fail(error);
    }
    supervisor.start("replica.election", elections.run);
    supervisor.start(
      "replica.join",
      () => askToJoin({ parts, peers, signal }),
    );
  }

  function status(): ReplicaStatus {
    const { log } = local;
    const { voters, learners } = log?.membership ?? NO_MEMBERS;
    return {
      identity: local.info.identity,
      role: local.role,
      term: ballot.term,
      leader: contact.address,
      lastIndex: log?.lastIndex ?? 0,
      commitIndex: log?.commitIndex ?? 0,
      snapshotIndex: log?.snapshot?.index ?? 0,
      voters: voters.map((voter) => voter.identity),
      learners: learners.map((learner) => learner.identity),
      failure: recovery.failure,
    };
  }

  return {
    async start() {
      handleVotes(parts);
      handleAppends(parts, marks);
      handleSnapshots(parts);
      handleHellos(parts, marks);
      handleJoins(parts, leadership);
      handleHandover(parts, elections);
      await rpc.listen(address);
      supervisor.start("replica.enter", enter);
    },
    async stop() {
      await leadership.handOver();
      leadership.stepDown("stopping");
      local.stop();
      await supervisor.stop();
      await local.log?.idle();
      await rpc.close();
    },
    propose: leadership.propose,
    confirm: leadership.confirm,
    status,
    addresses: () => [...new Set([...peers.addresses(), address])],
    stalenessMs: () => local.role === "leader" ? 0 : contact.silenceMs(),
  };
}
