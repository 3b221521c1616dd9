/**
 * Keeps a node's directory up to date: it polls one control replica, and
 * fetches the view of a peer when a call between nodes reveals a newer version.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Member } from "../control/commands.ts";
import type { Departure } from "../control/departures.ts";
import { type Renewal, syncMethod } from "../control/node_methods.ts";
import type { ServiceSuspects } from "../control/suspicions.ts";
import { unpackView } from "../control/route_packing.ts";
import { type View, viewSchema } from "../control/view.ts";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import {
  createCondition,
  createSerialQueue,
  type Supervisor,
} from "../core/tasks.ts";
import type { Random } from "../core/random.ts";
import { isConnectable, type Network } from "../network/channel.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { type Timer, withTimeout } from "../time/timer.ts";
import type { ControlClient } from "./control_client.ts";
import type { Directory } from "./directory.ts";
import type { KnownSuspects } from "./suspicion_reports.ts";
import { unpackWorkspaces } from "../workspaces/workspace_packing.ts";
import { createViewRequest } from "./view_request.ts";
import { createViewAge, type ViewAge } from "./view_age.ts";

/** Keeps a directory up to date. */
export interface Sync {
  /** Whether a quorum has confirmed the view since this process started. */
  readonly confirmed: boolean;
  /** Monotonic time of the last successful sync with control. */
  readonly lastSyncAt: number;
  /** How old the view may be, and whether control could be reached. */
  readonly age: ViewAge;
  /** Starts polling control. */
  start(): void;
  /** Adds a subscription and waits a limited time for its first view. */
  subscribe(service: string): Promise<void>;
  /**
   * Fetches the view from `peer`, and then from control if the view is still
   * older than `version`.
   */
  catchUp(version: number, peer: string): void;
  /** Syncs with control, after a sync that is in progress. */
  syncNow(): Promise<void>;
  /**
   * Syncs with control, after a sync that is in progress; resolves with whether a
   * quorum has confirmed that the view has everything accepted before the call.
   */
  confirmNow(): Promise<boolean>;
  /** Adds a listener that is called after each sync that brought a view. */
  onSynced(listener: () => void): void;
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
  /** Called when the lease was lost, so that the node registers again. */
  onLeaseLost: () => void;
  /**
   * Called with the registration of this VM that control returns along with a
   * confirmed view, and with its revision. An earlier process of this VM may have
   * made it.
   */
  onRegistrationFound: (member: Member, revision: number | undefined) => void;
  /**
   * Called with what has left this VM, along with a confirmed view and before
   * `onRegistrationFound`.
   */
  onDeparturesFound: (departed: readonly Departure[]) => void;
  /** Returns the suspects that this node's guard knows. */
  knownSuspects: () => KnownSuspects | undefined;
  /** Called with newer suspects, after the view that came along is applied. */
  onSuspectsFound: (found: ServiceSuspects) => void;
}

const SYNC_TIMEOUT_MS = 1_000;
/**
 * Timeout of the first sync of a process; it doubles with each one that is not
 * answered, up to that of other syncs. A replica whose machine has no power yet
 * does not answer, while others may. It exceeds the time for which a replica
 * waits for a leader.
 */
const FIRST_SYNC_TIMEOUT_MS = 250;
const DEFAULT_SYNC_INTERVAL_MS = 500;
/** Sync interval until a quorum has confirmed the view. */
const UNCONFIRMED_SYNC_INTERVAL_MS = 100;
/** Staleness above which the next sync uses another replica. */
const MAX_REPLICA_STALENESS_MS = 1_000;
const MAX_EVENTS_PER_SYNC = 40;
const SUBSCRIBE_TIMEOUT_MS = 2_000;
const PEER_SYNC_TIMEOUT_MS = 500;

/** Creates the sync of a node's directory with control and peers. */
export function createSync(options: SyncOptions): Sync {
  const { node, rpc, network, client, directory, recorder } = options;
  const { timer, random, logger, supervisor } = options;
  const serial = createSerialQueue();
  const age = createViewAge(timer);
  const wakeup = createCondition(timer);
  /** Wakes subscriptions that wait for their first view. */
  const synced = createCondition(timer);
  const syncListeners: (() => void)[] = [];
  let confirmed = false;
  /** Timeout of the next sync while the view is unconfirmed. */
  let unconfirmedTimeoutMs = FIRST_SYNC_TIMEOUT_MS;
  let lastSyncAt = -Infinity;
  let catchingUp = false;
  /** Whether the next sync follows at once. */
  let unfinished = false;

  function intervalMs(): number {
    if (!confirmed) {
      return UNCONFIRMED_SYNC_INTERVAL_MS;
    }
    const base = directory.global?.limits.timeouts.sync_ms ??
      DEFAULT_SYNC_INTERVAL_MS;
    // Jitter keeps nodes from polling at the same time.
    return base * (0.9 + 0.2 * random.fraction());
  }

  /** Logs the members that were left out of a view. */
  function logDefects({ services }: View): void {
    for (const { service, defects = [] } of services) {
      defects.forEach((defect) =>
        logger.warn("node.member_left_out", { service, defect })
      );
    }
  }

  /** Unpacks a view; logs a malformed one, and asks another replica next. */
  function tryUnpack(view: View): View | undefined {
    try {
      logDefects(view);
      return unpackWorkspaces(unpackView(view));
    } catch (error) {
      logger.warn("node.view_malformed", errorFields(error));
      client.selectNextReplica();
      return undefined;
    }
  }

  /** Gives replicas more time once one has not answered in time. */
  function lengthenTimeout(waitedMs: number): void {
    if (waitedMs >= unconfirmedTimeoutMs) {
      unconfirmedTimeoutMs = Math.min(
        2 * unconfirmedTimeoutMs,
        SYNC_TIMEOUT_MS,
      );
    }
  }

  /** Whether a sync that brought nothing new may hide that a key is withdrawn. */
  function mayHideWithdrawal(): boolean {
    return confirmed && directory.workspaces.revision > 0;
  }

  /** Syncs; with `confirm`, resolves with whether a quorum has confirmed it. */
  async function syncOnce(confirm = false): Promise<boolean> {
    const attempt = age.begin();
    // A repeated sync is not repeated: all replicas may be out of contact.
    const isRepeated = unfinished;
    unfinished = false;
    const events = recorder.take(MAX_EVENTS_PER_SYNC);
    const known = directory.known;
    const askedAt = timer.now();
    const reply = await rpc.call({
      peer: client.addresses()[0],
      method: syncMethod,
      request: {
        node,
        known,
        confirm: confirm || !confirmed,
        renewal: options.renewal(),
        knownSuspects: options.knownSuspects(),
        events,
      },
      timeoutMs: confirmed ? SYNC_TIMEOUT_MS : unconfirmedTimeoutMs,
    });
    if (reply.isErr()) {
      lengthenTimeout(timer.now() - askedAt);
      recorder.requeue(events);
      client.selectNextReplica();
      attempt.fail();
      unfinished = !isRepeated && mayHideWithdrawal();
      return false;
    }
    const { stalenessMs, leaseLost, leader, departed, suspects } = reply.value;
    const { own, ownRevision } = reply.value;
    const view = tryUnpack(reply.value.view);
    if (!view) {
      attempt.fail();
      return false;
    }
    client.updateReplicas(reply.value.replicas.filter(isConnectable));
    directory.setFleetSize(reply.value.fleetSize);
    if (leader) {
      client.updateLeader(leader);
    }
    if (!confirmed && !reply.value.confirmed) {
      // A view that no quorum has confirmed may be older than the view that was
      // in force on this node before a restart.
      client.selectNextReplica();
      return false;
    }
    const isFirst = !confirmed;
    if (isFirst) {
      logger.info("node.view_confirmed", { version: view.global?.version });
      // A replica of an earlier version records no departures.
      options.onDeparturesFound(departed ?? []);
    }
    confirmed = true;
    lastSyncAt = timer.now();
    directory.apply(view);
    const { pages } = directory.workspaces;
    if (!pages) {
      attempt.succeed(reply.value.confirmed ? 0 : stalenessMs);
    }
    if (suspects) {
      options.onSuspectsFound(suspects);
    }
    synced.notifyAll();
    syncListeners.forEach((listener) => listener());
    if (own && isFirst) {
      options.onRegistrationFound(own, ownRevision);
    }
    const isStale = stalenessMs > MAX_REPLICA_STALENESS_MS;
    const isUnconfirmed = confirm && !reply.value.confirmed;
    if (isStale || isUnconfirmed) {
      client.selectNextReplica();
      attempt.fail();
    }
    if (leaseLost) {
      options.onLeaseLost();
    }
    const hasNewPage = pages !== undefined &&
      pages.count !== known.workspacePages?.count;
    unfinished = hasNewPage ||
      (isStale && !isRepeated && mayHideWithdrawal());
    return !isUnconfirmed;
  }

  async function syncNow(): Promise<void> {
    await serial.run(() => syncOnce());
  }

  /**
   * Pause after a sync. While the view is unconfirmed it counts from the sync's
   * start, so that a replica that answers late does not delay the next question.
   */
  function pauseMs(startedAt: number): number {
    if (unfinished) {
      return 0;
    }
    return confirmed
      ? intervalMs()
      : Math.max(0, startedAt + intervalMs() - timer.now());
  }

  async function syncTask(): Promise<void> {
    while (!supervisor.signal.aborted) {
      const startedAt = timer.now();
      await syncNow();
      await wakeup.wait(pauseMs(startedAt));
    }
  }

  /** Waits until a sync has brought the view of a service. */
  async function waitForService(
    service: string,
    timeoutMs: number,
  ): Promise<void> {
    const deadline = timer.now() + timeoutMs;
    while (!directory.service(service) && timer.now() < deadline) {
      await synced.wait(deadline - timer.now());
    }
  }

  async function fetchViewFromPeer(peer: string): Promise<void> {
    const channel = await network.connect(peer, PEER_SYNC_TIMEOUT_MS);
    try {
      await channel.send(createViewRequest(directory.known));
      const frame = await withTimeout(timer, channel.receive(), {
        step: "sync.peer",
        peer,
        timeoutMs: PEER_SYNC_TIMEOUT_MS,
      });
      if (frame?.kind === "view") {
        const view = viewSchema.parse(frame.view);
        logDefects(view);
        directory.apply(unpackWorkspaces(unpackView(view)));
      }
    } finally {
      channel.close();
    }
  }

  async function catchUp(version: number, peer: string): Promise<void> {
    if (peer) {
      await fetchViewFromPeer(peer);
    }
    if (directory.version < version) {
      await syncNow();
    }
  }

  return {
    get confirmed() {
      return confirmed;
    },
    get lastSyncAt() {
      return lastSyncAt;
    },
    age,
    syncNow,
    onSynced: (listener) => syncListeners.push(listener),
    confirmNow: () => serial.run(() => syncOnce(true)),
    start: () => supervisor.start("node.sync", syncTask),
    async subscribe(service) {
      if (directory.service(service)) {
        return;
      }
      directory.subscribe(service);
      const deadline = timer.now() + SUBSCRIBE_TIMEOUT_MS;
      while (!directory.service(service) && timer.now() < deadline) {
        await syncNow();
        await waitForService(service, UNCONFIRMED_SYNC_INTERVAL_MS);
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
