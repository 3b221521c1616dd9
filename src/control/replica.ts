/**
 * One replica of the log. This module creates and connects its parts, each of
 * which owns its state.
 * @module
 */
import type { Result } from "neverthrow";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { createSerialQueue, type Supervisor } from "../core/tasks.ts";
import type { Disk } from "../disk/disk.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { Timer } from "../time/timer.ts";
import { createTermState } from "./term_state.ts";
import { createDurableWatermarks } from "./durable_watermarks.ts";
import { createElections } from "./elections.ts";
import {
  handleHandover,
  handleHellos,
  handleJoins,
  handleVoteReleases,
} from "./peer_handlers.ts";
import { handleAppends, handleSnapshots } from "./follower_handlers.ts";
import { askToJoin } from "./joining.ts";
import { releaseVote } from "./vote_release.ts";
import { createKnownPeers } from "./known_peers.ts";
import { createLeaderContact } from "./leader_contact.ts";
import { createLocalReplica, type Role } from "./local_replica.ts";
import { createLogStore, NO_MEMBERS } from "./log_store.ts";
import type { StateMachine } from "./machine.ts";
import { createLocalLeadership } from "./local_leadership.ts";
import { createPreVotes } from "./pre_votes.ts";
import type { ProposalError, ProposalResult } from "./proposals.ts";
import { createRecovery } from "./recovery.ts";
import type { ReplicaContext } from "./replica_context.ts";
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
  /**
   * Whether a replica with an empty disk may form a new cluster; true by
   * default.
   */
  mayFound?: boolean;
  /** State machine that committed entries are applied to. */
  machine: StateMachine;
  /** Disk that holds the data directory. */
  disk: Disk;
  /** Connects to peers; the replica registers its handlers here. */
  rpc: Rpc;
  /** Clock and timers. */
  timer: Timer;
  /** Source of randomness. */
  random: Random;
  /** Receives log events. */
  logger: Logger;
  /** Parent of the replica's tasks. */
  supervisor: Supervisor;
  /** Overrides of the default tuning. */
  tuning?: Partial<ReplicaTuning>;
}

/** A replica's status, from what the replica itself knows. */
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
  /**
   * Starts to listen, and reads the disk and enters the cluster in the
   * background.
   */
  start(): Promise<void>;
  /**
   * Hands leadership over if this replica leads, gives up a vote that the quorum
   * does not need, and stops. Waiting proposals
   * resolve as `unknown`, waiting reads as `not_leader`; calls in progress are
   * answered.
   */
  stop(): Promise<void>;
  /**
   * Appends a command and returns its result once it is applied. The wait ends
   * early only if leadership ends; it has no timeout.
   */
  propose(command: unknown): Promise<ProposalResult>;
  /**
   * Confirms with a quorum that this replica leads, and that everything
   * accepted before the call is applied on it. If leadership ends, or no quorum
   * answers within an election timeout, it resolves as `not_leader`.
   */
  confirm(): Promise<Result<number, ProposalError>>;
  /** Returns the status of the replica. */
  status(): ReplicaStatus;
  /** RPC addresses of all known replicas, including this one. */
  addresses(): string[];
  /**
   * Milliseconds since the last contact with a leader or vote for a candidate;
   * 0 on the leader.
   */
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
  const marks = createDurableWatermarks();
  const termState = createTermState({
    store,
    onNewerTerm: () => leadership.stepDown("newer term"),
    onFailure: (error) => recovery.fail(error),
  });
  const context: ReplicaContext = {
    local,
    termState,
    contact,
    preVotes: createPreVotes(timer),
    serial: createSerialQueue(),
    rpc,
    timer,
    logger,
    tuning: { ...DEFAULT_TUNING, ...options.tuning },
  };
  const leadership = createLocalLeadership({ context, marks, supervisor });
  const elections = createElections({
    context,
    random,
    signal,
    onWon: leadership.begin,
  });
  const peers = createKnownPeers({
    founders,
    membership: () => local.log?.membership ?? NO_MEMBERS,
  });
  const recovery = createRecovery({
    context,
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
      // Recovery restarts the replica once the disk works; the tasks below wait
      // for that.
      recovery.fail(error);
    }
    supervisor.start("replica.election", elections.run);
    supervisor.start(
      "replica.join",
      () => askToJoin({ context, peers, signal }),
    );
  }

  function status(): ReplicaStatus {
    const { log } = local;
    const { voters, learners } = log?.membership ?? NO_MEMBERS;
    return {
      identity: local.info.identity,
      role: local.role,
      term: termState.term,
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
      handleVotes(context);
      handleAppends(context, marks);
      handleSnapshots(context);
      handleHellos(context, marks);
      handleJoins(context, leadership);
      handleVoteReleases(context, leadership);
      handleHandover(context, elections);
      await rpc.listen(address);
      supervisor.start("replica.enter", enter);
    },
    async stop() {
      await leadership.handOver();
      leadership.stepDown("stopping");
      await releaseVote(context);
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
