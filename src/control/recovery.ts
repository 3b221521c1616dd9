/**
 * Reads the disk and enters the cluster, at the start and again after the disk
 * has failed.
 * @module
 */
import { CorruptionError, errorFields } from "../core/errors.ts";
import type { Random } from "../core/random.ts";
import type { Supervisor } from "../core/tasks.ts";
import { sleep } from "../time/timer.ts";
import type { Elections } from "./elections.ts";
import { resolveIdentity } from "./startup_identity.ts";
import type { KnownPeers } from "./known_peers.ts";
import type { LogStore, Recovered } from "./log_store.ts";
import type { StateMachine } from "./machine.ts";
import type { LocalLeadership } from "./local_leadership.ts";
import { createReplicaLog } from "./replica_log.ts";
import type { ReplicaContext } from "./replica_context.ts";

/** Pause before a replica whose disk failed reads it again, in milliseconds. */
const REOPEN_DELAY_MS = 1_000;

/** Entries that are decoded ahead of their commit without a pause. */
const PREPARED_AT_ONCE = 16;
/**
 * Pause between two such groups, in milliseconds, in which the replica answers
 * its peers.
 */
const PREPARE_PAUSE_MS = 2;

/** Options of {@link createRecovery}. */
export interface RecoveryOptions {
  context: ReplicaContext;
  store: LogStore;
  machine: StateMachine;
  random: Random;
  supervisor: Supervisor;
  elections: Elections;
  leadership: LocalLeadership;
  peers: KnownPeers;
  /** RPC addresses of the cluster's first replicas by VM name. */
  founders: Record<string, string>;
  /** Whether a replica with an empty disk may form a new cluster. */
  mayFound: boolean;
}

/**
 * Starts a replica in its cluster, and restarts it after failures of the disk.
 */
export interface Recovery {
  /** Error that made the replica fail; empty if it has not failed. */
  readonly failure: string;
  /**
   * Reads the disk and enters the cluster. The wait for peers ends when the
   * replica stops; peers are not notified. Rejects if the disk fails.
   */
  enter(): Promise<void>;
  /**
   * Called when the disk failed. The replica takes no part until it has read
   * the disk again, and never again if the disk is damaged. Waiting proposals
   * resolve as `unknown`.
   */
  fail(error: unknown): void;
}

/** Creates the recovery of a replica that has not failed. */
export function createRecovery(options: RecoveryOptions): Recovery {
  const { context, store, machine, random, supervisor } = options;
  const { elections, leadership, peers, founders, mayFound } = options;
  const { local, termState, rpc, timer, logger, tuning } = context;
  const { signal } = supervisor;
  let failure = "";

  function fail(error: unknown): void {
    if (local.role === "failed") {
      return;
    }
    logger.error("replica.failed", errorFields(error));
    failure = String(errorFields(error).error);
    leadership.stepDown("disk failed");
    local.fail();
    if (!(error instanceof CorruptionError)) {
      supervisor.start("replica.reopen", reopen);
    }
  }

  /**
   * Restarts from the contents of the disk once it can be written again. State
   * that was not durable is discarded from memory too, so that peers learn of
   * nothing that the disk may lack.
   */
  async function reopen(): Promise<void> {
    await sleep(timer, REOPEN_DELAY_MS, { signal });
    if (signal.aborted) {
      return;
    }
    local.restart();
    try {
      const { vote } = await store.recover();
      await store.saveVote(vote);
      await enter();
      failure = "";
    } catch (error) {
      fail(error);
    }
  }

  function openLog(recovered: Recovered): void {
    termState.load(recovered.vote);
    local.setLog(createReplicaLog({
      store,
      machine,
      recovered,
      snapshotEvery: tuning.snapshotEvery,
      listener: {
        durable: leadership.advance,
        applied: leadership.applied,
        failed: fail,
      },
    }));
  }

  /**
   * Decodes the entries of the disk while peers and an election are awaited.
   * They are applied all at once when the first entry of a term is committed,
   * and no view is confirmed before that.
   */
  async function prepareEntries(): Promise<void> {
    while (!signal.aborted && local.log?.prepare(PREPARED_AT_ONCE)) {
      await sleep(timer, PREPARE_PAUSE_MS, { signal });
    }
  }

  async function enter(): Promise<void> {
    const recovered = await store.recover();
    if (recovered.tornBytes > 0) {
      logger.warn("replica.torn_tail_cut", { bytes: recovered.tornBytes });
    }
    openLog(recovered);
    supervisor.start("replica.prepare", prepareEntries);
    const { vm, address } = local.info;
    const resolved = await resolveIdentity({
      vm,
      address,
      founders,
      mayFound,
      onMembers: peers.add,
      recovered,
      store,
      rpc,
      timer,
      random,
      logger,
      signal,
      callMs: tuning.callMs,
    });
    if (resolved.kind === "stopped") {
      return;
    }
    local.setIdentity(resolved.identity);
    if (resolved.kind === "reset" || resolved.kind === "founder") {
      openLog(await store.recover());
    }
    local.activate();
    elections.resetTimer({ confirmed: resolved.kind === "confirmed" });
    const { identity } = local.info;
    const { role } = local;
    logger.info("replica.entered", { identity, role, term: termState.term });
  }

  return {
    get failure() {
      return failure;
    },
    enter,
    fail,
  };
}
