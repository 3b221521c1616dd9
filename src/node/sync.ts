/**
 * Keeps a node's directory up to date: it asks one control replica at a steady
 * interval, and a peer when a call between nodes shows a newer version.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Member } from "../control/commands.ts";
import { type Renewal, syncMethod } from "../control/node_methods.ts";
import { viewSchema } from "../control/view.ts";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import { createBell, createSerial, type Supervisor } from "../core/tasks.ts";
import type { Random } from "../core/random.ts";
import type { Network } from "../network/channel.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { type Timer, withTimeout } from "../time/timer.ts";
import type { ControlClient } from "./control_client.ts";
import type { Directory } from "./directory.ts";

/** Keeps a directory up to date. */
export interface Sync {
  /** Whether a quorum has confirmed the view since this process started. */
  readonly confirmed: boolean;
  /** Monotonic time of the last news from control. */
  readonly heardAt: number;
  /** Starts to ask. */
  start(): void;
  /** Adds a subscription and waits for its first view. */
  subscribe(service: string): Promise<void>;
  /** Asks for news, since a peer holds a newer version. */
  catchUp(version: number, peer: string): void;
  /** Asks for news now. */
  now(): Promise<void>;
}

/** Options of {@link createSync}. */
export interface SyncOptions {
  node: string;
  rpc: Rpc;
  network: Network;
  client: ControlClient;
  directory: Directory;
  recorder: Recorder;
  timer: Timer;
  random: Random;
  logger: Logger;
  supervisor: Supervisor;
  /** Lease to renew, if a backend server is registered. */
  renewal: () => Renewal | undefined;
  /** The lease was lost: the registration must be made again. */
  onLeaseLost: () => void;
  /** The view is confirmed, and tells what an earlier process registered. */
  onOwnRecord: (own: Member) => void;
}

const SYNC_TIMEOUT_MS = 1_000;
const DEFAULT_INTERVAL_MS = 500;
/** Interval until a quorum has confirmed the view. */
const UNCONFIRMED_INTERVAL_MS = 100;
/** Staleness past which another replica is asked. */
const STALE_REPLICA_MS = 1_000;
const MAX_EVENTS_PER_SYNC = 40;
const SUBSCRIBE_TIMEOUT_MS = 2_000;
const PEER_TIMEOUT_MS = 500;

/** Creates the part of a node that keeps its directory up to date. */
export function createSync(options: SyncOptions): Sync {
  const { node, rpc, network, client, directory, recorder } = options;
  const { timer, random, logger, supervisor } = options;
  const serial = createSerial();
  const bell = createBell(timer);
  let confirmed = false;
  let heardAt = -Infinity;
  let catchingUp = false;

  function intervalMs(): number {
    if (!confirmed) {
      return UNCONFIRMED_INTERVAL_MS;
    }
    const base = directory.global?.limits.timeouts.sync_ms ??
      DEFAULT_INTERVAL_MS;
    // A little spread keeps nodes from asking in step.
    return base * (0.9 + 0.2 * random.fraction());
  }

  async function syncOnce(): Promise<boolean> {
    const events = recorder.take(MAX_EVENTS_PER_SYNC);
    const known = directory.known;
    const reply = await rpc.call({
      peer: client.addresses()[0],
      method: syncMethod,
      request: {
        node,
        known,
        confirm: !confirmed,
        renewal: options.renewal(),
        events,
      },
      timeoutMs: SYNC_TIMEOUT_MS,
    });
    if (reply.isErr()) {
      recorder.putBack(events);
      client.skipReplica();
      return false;
    }
    const { view, stalenessMs, leaseLost, leader, own } = reply.value;
    client.noteReplicas(reply.value.replicas);
    directory.noteFleetSize(reply.value.fleetSize);
    if (leader) {
      client.noteLeader(leader);
    }
    if (!confirmed && !reply.value.confirmed) {
      // Until a quorum vouches for it, a view may be older than one that was
      // in force here before a restart.
      client.skipReplica();
      return false;
    }
    if (!confirmed) {
      logger.info("node.view_confirmed", { version: view.global?.version });
    }
    confirmed = true;
    heardAt = timer.now();
    directory.apply(view);
    if (own) {
      options.onOwnRecord(own);
    }
    if (stalenessMs > STALE_REPLICA_MS) {
      client.skipReplica();
    }
    if (leaseLost) {
      options.onLeaseLost();
    }
    return true;
  }

  async function now(): Promise<void> {
    await serial.run(syncOnce);
  }

  async function syncTask(): Promise<void> {
    while (!supervisor.signal.aborted) {
      await now();
      await bell.wait(intervalMs());
    }
  }

  async function askPeer(peer: string): Promise<void> {
    const services = Object.keys(directory.known.services);
    const channel = await network.connect(peer, PEER_TIMEOUT_MS);
    try {
      await channel.send({ kind: "view_request", services });
      const frame = await withTimeout(timer, channel.receive(), {
        step: "sync.peer",
        peer,
        timeoutMs: PEER_TIMEOUT_MS,
      });
      if (frame?.kind === "view") {
        directory.apply(viewSchema.parse(frame.view));
      }
    } finally {
      channel.close();
    }
  }

  async function catchUp(version: number, peer: string): Promise<void> {
    if (peer) {
      await askPeer(peer);
    }
    if (directory.version < version) {
      await now();
    }
  }

  return {
    get confirmed() {
      return confirmed;
    },
    get heardAt() {
      return heardAt;
    },
    now,
    start: () => supervisor.start("node.sync", syncTask),
    async subscribe(service) {
      directory.subscribe(service);
      const deadline = timer.now() + SUBSCRIBE_TIMEOUT_MS;
      while (!directory.service(service) && timer.now() < deadline) {
        await now();
      }
    },
    catchUp(version, peer) {
      if (catchingUp || directory.version >= version) {
        return;
      }
      catchingUp = true;
      catchUp(version, peer).catch((error) => {
        logger.warn("node.catch_up_failed", { peer, ...errorFields(error) });
      }).finally(() => {
        catchingUp = false;
      });
    },
  };
}
