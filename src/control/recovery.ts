/**
 * Reads the disk, enters the cluster with it, and begins anew after the disk
 * has failed.
 * @module
 */
import { CorruptionError, errorFields } from "../core/errors.ts";
import type { Random } from "../core/random.ts";
import type { Supervisor } from "../core/tasks.ts";
import { sleep } from "../time/timer.ts";
import type { Elections } from "./elections.ts";
import { enterCluster } from "./entrance.ts";
import type { KnownPeers } from "./known_peers.ts";
import type { LogStore, Recovered } from "./log_store.ts";
import type { Machine } from "./machine.ts";
import type { OwnLeadership } from "./own_leadership.ts";
import { createReplicaLog } from "./replica_log.ts";
import type { ReplicaParts } from "./replica_parts.ts";

/** Pause before a replica whose disk failed reads it again. */
const REOPEN_MS = 1_000;

/** Options of {@link createRecovery}. */
export interface RecoveryOptions {
  parts: ReplicaParts;
  store: LogStore;
  machine: Machine;
  random: Random;
  supervisor: Supervisor;
  elections: Elections;
  leadership: OwnLeadership;
  peers: KnownPeers;
  /** RPC addresses of the cluster's first replicas by VM name. */
  founders: Record<string, string>;
  /** Whether an empty disk may begin a new cluster. */
  mayFound: boolean;
}

/** Takes a replica into the cluster, at its start and after failures. */
export interface Recovery {
  /** Why the replica failed; empty if it did not. */
  readonly failure: string;
  /**
   * Reads the disk and enters the cluster. The end of the replica ends the
   * wait for peers, and nobody is told. Rejects if the disk fails.
   */
  enter(): Promise<void>;
  /**
   * The disk failed: the replica takes no part until it has read it again. It
   * stays out if the disk is damaged. Proposals that wait are told `unknown`.
   */
  fail(error: unknown): void;
}

/** Creates the recovery of a replica that has not failed. */
export function createRecovery(options: RecoveryOptions): Recovery {
  const { parts, store, machine, random, supervisor } = options;
  const { elections, leadership, peers, founders, mayFound } = options;
  const { local, ballot, rpc, timer, logger, tuning } = parts;
  const { signal } = supervisor;
  let failure = "";

  function fail(error: unknown): void {
    if (local.role === "failed") {
      return;
    }
    logger.error("replica.failed", errorFields(error));
    failure = String(errorFields(error).error);
    leadership.stepDown("disk");
    local.fail();
    if (!(error instanceof CorruptionError)) {
      supervisor.start("replica.reopen", reopen);
    }
  }

  /**
   * Begins anew with what the disk holds, once it can be written again.
   * Whatever was not made durable is gone from memory too, so that nothing is
   * told that the disk may lack.
   */
  async function reopen(): Promise<void> {
    await sleep(timer, REOPEN_MS, { signal });
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
    ballot.load(recovered.vote);
    local.opened(createReplicaLog({
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

  async function enter(): Promise<void> {
    const recovered = await store.recover();
    if (recovered.tornBytes > 0) {
      logger.warn("replica.torn_tail_cut", { bytes: recovered.tornBytes });
    }
    openLog(recovered);
    const { vm, address } = local.info;
    const entrance = await enterCluster({
      vm,
      address,
      founders,
      mayFound,
      onMembers: peers.met,
      recovered,
      store,
      rpc,
      timer,
      random,
      logger,
      signal,
      callMs: tuning.callMs,
    });
    if (entrance.kind === "stopped") {
      return;
    }
    local.identified(entrance.identity);
    if (entrance.kind === "reset" || entrance.kind === "founder") {
      openLog(await store.recover());
    }
    local.entered();
    elections.entered({ vouched: entrance.kind === "vouched" });
    const { identity } = local.info;
    const { role } = local;
    logger.info("replica.entered", { identity, role, term: ballot.term });
  }

  return {
    get failure() {
      return failure;
    },
    enter,
    fail,
  };
}
