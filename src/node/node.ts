/**
 * The `node` role: the ingress, the guard, and the sync of their view with
 * control. It contains no HTTP, so that it can also run embedded and in tests.
 * @module
 */
import { createRecorder, type Recorder } from "../account/events.ts";
import type { Member } from "../control/commands.ts";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Supervisor } from "../core/tasks.ts";
import type { BackendFactory } from "../guard/backend.ts";
import { createGuard, type Guard } from "../guard/guard.ts";
import type { Announcement, AnnouncementResult } from "../guard/server_link.ts";
import { createRateBudget } from "../ingress/budget.ts";
import { createExchanger } from "../ingress/exchange.ts";
import { createIngress, type Ingress } from "../ingress/ingress.ts";
import { createPeerPool, type PeerPool } from "../ingress/peer_pool.ts";
import { createMetrics, type Metrics } from "../metrics/metrics.ts";
import type { Channel, Listener, Network } from "../network/channel.ts";
import { createLoopbackNetwork } from "../network/local.ts";
import type { Rpc } from "../rpc/rpc.ts";
import type { WorkspaceLimit } from "../quota/bounds.ts";
import { createQuota } from "../quota/quota.ts";
import { type EventLoopLag, noLag } from "../time/event_loop_lag.ts";
import { sleep, type Timer } from "../time/timer.ts";
import { createClaimClient } from "./claim_client.ts";
import { createControlClient } from "./control_client.ts";
import { createDepartures, type Departures } from "./departures.ts";
import { createDirectory, type Directory } from "./directory.ts";
import { type FreezeWatch, watchFreezes } from "./freeze_watch.ts";
import { exposeNodeMetrics } from "./node_metrics.ts";
import { createPeerProbes } from "./peer_probes.ts";
import { createRegistration } from "./registration.ts";
import { createReportRefresh } from "./report_refresh.ts";
import { createServiceBroadcast } from "./service_broadcast.ts";
import { createSilenceLog } from "./silence_log.ts";
import { createSuspicionReports } from "./suspicion_reports.ts";
import { createSync, type Sync } from "./sync.ts";

/** Options of {@link createNode}. */
export interface NodeOptions {
  vm: string;
  domain: string;
  region: string;
  /** Address on which attempts of other nodes are accepted. */
  peerAddress: string;
  /** Service of this VM; by default the service of its backend server. */
  service?: string;
  controlAddresses: readonly string[];
  network: Network;
  rpc: Rpc;
  timer: Timer;
  random: Random;
  logger: Logger;
  supervisor: Supervisor;
  createBackend: BackendFactory;
  /** Event loop lag of the process; none by default. */
  lag?: EventLoopLag;
  /** Name of the load balancing policy. */
  policy?: string;
  /** Returns the rate limit of a workspace; by default that of the directory. */
  limitOf?: (workspace: string) => WorkspaceLimit | undefined;
}

/** The `node` role of a process. */
export interface Node {
  readonly ingress: Ingress;
  readonly guard: Guard;
  readonly directory: Directory;
  readonly metrics: Metrics;
  readonly recorder: Recorder;
  readonly sync: Sync;
  /** Bound peer address. */
  readonly peerAddress: string;
  /** Whether the node accepts calls and a quorum has confirmed its view. */
  readonly ready: boolean;
  /** Starts to accept attempts and to sync with control. */
  start(): Promise<void>;
  /** Replaces the seed addresses of control when the settings change. */
  setControlAddresses(addresses: readonly string[]): void;
  /** What has left this VM. */
  readonly departures: Pick<Departures, "waitUntilKnown">;
  /**
   * Handles an announcement of the backend server; at once if it is known what
   * has left this VM. The result is `not_ready` if that does not become known
   * within some seconds; the server then has to announce itself again.
   */
  announce(
    announcement: Announcement,
  ): Promise<AnnouncementResult | "not_ready">;
  /**
   * Stops new requests to the backend server at once and deregisters it once no
   * attempt is in flight; then resolves with true. Resolves with false if `boot`
   * is not announced. `onRecorded` is called once control has recorded the
   * leave, so that it also applies to a restarted process of this node; only
   * then may it be acknowledged.
   */
  leave(boot: string, onRecorded?: () => void): Promise<boolean>;
  /**
   * Rejects announcements of the given instance that started before now. Called
   * when an instance leaves that is not the announced backend server. Resolves
   * with whether control has recorded it, as it has to before it is acknowledged.
   */
  rejectInstance(instance: string): Promise<boolean>;
  /**
   * First step of a planned stop: registers the backend server as leaving and
   * stops accepting attempts.
   */
  drain(): Promise<void>;
  /** Second step of a planned stop: deregisters and closes all connections. */
  stop(): Promise<void>;
}

const RECORDER_CAPACITY = 4_000;
const DEFAULT_TIMEOUTS = {
  connect_ms: 250,
  silence_ms: 400,
  idle_ping_ms: 1_000,
};
const PROBE_INTERVAL_MS = 250;
/** Health check path of a restored server until its settings are known. */
const DEFAULT_HEALTH_PATH = "/health";
/** Time without announcements after which the server is deregistered. */
const ANNOUNCEMENT_LEASE_MS = 10_000;
/** Longest wait of an announcement until it is known what has left this VM. */
const DEPARTURES_TIMEOUT_MS = 5_000;
/** Limit for the call to control when the process stops. */
const DEREGISTER_TIMEOUT_MS = 200;
/** Limit for the node's own tasks when the process stops. */
const TASK_SHUTDOWN_TIMEOUT_MS = 100;
const ANNOUNCEMENT_CHECK_INTERVAL_MS = 1_000;

/** Creates the `node` role. */
export function createNode(options: NodeOptions): Node {
  const { vm, domain, region, rpc, timer, random, logger } = options;
  const { lag = noLag } = options;
  const supervisor = options.supervisor.child();
  const { signal } = supervisor;
  const incarnation = random.identifier();
  const directory = createDirectory();
  const metrics = createMetrics();
  const recorder = createRecorder({
    source: vm,
    timer,
    version: () => directory.version,
    capacity: RECORDER_CAPACITY,
  });
  const client = createControlClient({
    rpc,
    timer,
    addresses: options.controlAddresses,
    firstIndex: random.integer(options.controlAddresses.length),
  });
  const registration = createRegistration({
    client,
    timer,
    logger,
    onSuperseded: () => guard.supersede(),
  });
  const departures = createDepartures({
    vm,
    client,
    timer,
    onDeparture: (departure) => guard.rejectDeparted(departure),
  });
  const suspicionReports = createSuspicionReports({
    client,
    timer,
    service: () => options.service ?? guard.announced?.service ?? "",
  });
  const loopback = createLoopbackNetwork(options.network, {
    address: options.peerAddress,
    accept: (channel) => serve(channel),
  });
  const sync = createSync({
    node: vm,
    rpc,
    network: options.network,
    client,
    directory,
    recorder,
    timer,
    random,
    logger,
    supervisor,
    renewal: registration.renewal,
    onLeaseLost: () => void register(),
    onRegistrationFound(previous, revision) {
      registration.notePrevious(revision);
      guard.learnRegistered(previous);
      void restoreRegistration(previous);
    },
    onDeparturesFound: departures.learn,
    knownSuspects: suspicionReports.known,
    onSuspectsFound(found) {
      suspicionReports.noteReceived(found);
      guard.learnSuspects(found.suspects);
    },
  });
  const pool: PeerPool = createPeerPool({
    network: loopback.network,
    timer,
    supervisor,
    timeouts: () => {
      const limits = directory.global?.limits.timeouts ?? DEFAULT_TIMEOUTS;
      return {
        connectMs: limits.connect_ms,
        silenceMs: limits.silence_ms,
        idlePingMs: limits.idle_ping_ms,
      };
    },
  });
  const exchanger = createExchanger({
    pool,
    timer,
    silenceMs: () =>
      directory.global?.limits.timeouts.silence_ms ??
        DEFAULT_TIMEOUTS.silence_ms,
    onSilence: createSilenceLog({ timer, logger, metrics }),
  });
  const quota = createQuota({
    ...options,
    directory,
    pool,
    metrics,
    limitOf: options.limitOf ?? directory.workspace,
    subscribe: sync.subscribe,
    onNewerVersion: sync.catchUp,
    lastSyncAt: () => sync.lastSyncAt,
  });
  const ingress = createIngress({
    vm,
    domain,
    peerAddress: options.peerAddress,
    caller: () => options.service ?? guard.announced?.service ?? "",
    incarnation,
    directory,
    sync,
    exchanger,
    claims: createClaimClient({ client, timer }),
    subscribe: sync.subscribe,
    onNewerVersion: sync.catchUp,
    timer,
    lag,
    random,
    metrics,
    recorder,
    logger,
    policy: options.policy,
    canStartLocally: (service) => guard.startsAtOnce(service),
    quota,
  });
  const guard: Guard = createGuard({
    vm,
    domain,
    incarnation,
    directory,
    timer,
    lag,
    logger,
    recorder,
    metrics,
    createBackend: options.createBackend,
    shareSuspicion: (frame) =>
      void broadcastToService(frame, guard.announced?.service ?? ""),
    suspicionReports,
    onNewerVersion: sync.catchUp,
    onServerLeaving: (boot) => void leave(boot),
    onReportNeeded: () => reportRefresh.ensureFresh(),
    serveQuota: quota.serve,
  });
  const reportRefresh = createReportRefresh({
    timer,
    ageMs: () => guard.reportAgeMs,
    queued: () => guard.load().queued,
    requestReport: checkHealth,
  });
  const broadcastToService = createServiceBroadcast({ vm, directory, pool });
  const probePeers = createPeerProbes({
    vm,
    directory,
    pool,
    timer,
    metrics,
    hints: () => ingress.hints,
  });
  const healthBudget = createRateBudget(
    timer,
    () => directory.global?.limits.measuring.probes_per_server_per_s ?? 0,
  );
  exposeNodeMetrics({ metrics, timer, directory, sync, ingress, guard });
  const openChannels = new Set<Channel>();
  let listener: Listener | undefined;
  let freezeWatch: FreezeWatch | undefined;
  let announcedAt = timer.now();
  let leaving = false;
  let stopping = false;

  function serve(channel: Channel): void {
    openChannels.add(channel);
    channel.onClose(() => openChannels.delete(channel));
    void guard.serve(channel);
  }

  function member(): Member | undefined {
    const { announced } = guard;
    return announced && {
      server: vm,
      service: announced.service,
      domain,
      region,
      address: options.peerAddress,
      incarnation,
      boot: announced.boot,
      slots: announced.slots ??
        directory.service(announced.service)?.settings?.slots ?? 1,
      leaving: leaving || stopping,
      backend: announced.instance === undefined ? undefined : {
        address: announced.address,
        instance: announced.instance,
        startedAt: announced.startedAt,
      },
    };
  }

  async function announce(
    announcement: Announcement,
  ): Promise<AnnouncementResult | "not_ready"> {
    const ready = departures.known ||
      await departures.waitUntilKnown(DEPARTURES_TIMEOUT_MS);
    if (!ready) {
      return "not_ready";
    }
    const result = guard.announce(announcement);
    if (result === "outdated") {
      return result;
    }
    announcedAt = timer.now();
    if (result === "new") {
      leaving = false;
    }
    // A leaving server may keep sending announcements until it exits.
    const isLeaving = leaving || stopping;
    const unregistered = registration.renewal() === undefined;
    if (!isLeaving && (result === "new" || unregistered)) {
      await sync.subscribe(announcement.service);
      await register();
    }
    return result;
  }

  /**
   * Registers the backend server that an earlier process of this node had
   * registered, without waiting for its next announcement. A server that is
   * leaving, or that is not the instance registered, has to announce itself.
   */
  async function restoreRegistration(previous: Member): Promise<void> {
    const { backend } = previous;
    if (!backend || previous.leaving || previous.incarnation === incarnation) {
      return;
    }
    const announcement: Announcement = {
      service: previous.service,
      boot: previous.boot,
      slots: previous.slots,
      sequence: 0,
      healthPath: DEFAULT_HEALTH_PATH,
      ...backend,
    };
    await sync.subscribe(previous.service);
    const isSameServer = await guard.verifyServer(announcement);
    if (isSameServer && !guard.announced) {
      logger.info("node.registration_restored", { boot: previous.boot });
      await announce(announcement);
    }
  }

  async function register(): Promise<boolean> {
    const current = member();
    return current !== undefined && await registration.register(current);
  }

  async function probeTask(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, PROBE_INTERVAL_MS, { signal });
      await probePeers();
      if (guard.announced && guard.load().inFlight === 0) {
        await checkHealth();
      }
    }
  }

  async function checkHealth(): Promise<void> {
    if (healthBudget.take()) {
      metrics.count("health_checks");
      await guard.probe();
    }
  }

  /**
   * Syncs the view, which is out of date after a freeze, and restarts the
   * announcement lease, since announcements were not read during the freeze.
   */
  function handleFreeze(frozenMs: number): void {
    logger.warn("node.was_frozen", { ms: Math.round(frozenMs) });
    announcedAt = timer.now();
    sync.syncNow().catch((error) =>
      logger.warn("node.sync_failed", errorFields(error))
    );
  }

  async function leave(
    boot: string,
    onRecorded: () => void = () => {},
  ): Promise<boolean> {
    const isAnnounced = guard.announced?.boot === boot;
    leaving ||= isAnnounced;
    const recording = departures.record({ kind: "boot", boot })
      .then((recorded) => {
        if (recorded) {
          onRecorded();
        }
      });
    const drained = await guard.leave(boot);
    await recording;
    if (isAnnounced) {
      await registration.leave();
    }
    return drained;
  }

  /** Deregisters the backend server once its announcements have ended. */
  async function announcementTask(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, ANNOUNCEMENT_CHECK_INTERVAL_MS, { signal });
      freezeWatch?.check();
      const silentMs = timer.now() - announcedAt;
      const registered = registration.renewal() !== undefined;
      if (registered && silentMs > ANNOUNCEMENT_LEASE_MS) {
        logger.warn("node.announcements_ended", { ms: Math.round(silentMs) });
        await registration.leave();
      }
    }
  }

  return {
    ingress,
    guard,
    directory,
    metrics,
    recorder,
    sync,
    get peerAddress() {
      return listener?.address ?? options.peerAddress;
    },
    get ready() {
      return sync.confirmed && directory.global !== undefined &&
        !directory.lacksWorkspaces && !stopping;
    },
    setControlAddresses: client.setSeedAddresses,
    async start() {
      if (options.service !== undefined) {
        directory.subscribe(options.service);
      }
      listener = await options.network.listen(options.peerAddress, serve);
      sync.start();
      supervisor.start("node.probe", probeTask);
      supervisor.start("node.announcements", announcementTask);
      freezeWatch = watchFreezes(timer, handleFreeze);
    },
    announce,
    leave,
    departures,
    rejectInstance: (instance) =>
      departures.record({
        kind: "instance",
        instance,
        startedBy: timer.wallTime(),
      }),
    async drain() {
      stopping = true;
      const limits = directory.global?.limits.timeouts;
      void register();
      // The guard still admits attempts while ingresses learn of the stop.
      await sleep(timer, limits?.linger_ms ?? 0);
      await guard.drain();
    },
    async stop() {
      // Without an answer of control, the registration ends with its lease.
      await Promise.race([
        registration.leave(DEREGISTER_TIMEOUT_MS).then(sync.syncNow),
        sleep(timer, DEREGISTER_TIMEOUT_MS),
      ]);
      await listener?.close();
      // A call to control that is in flight may outlast the shutdown limit.
      await Promise.race([
        supervisor.stop(),
        sleep(timer, TASK_SHUTDOWN_TIMEOUT_MS),
      ]);
      reportRefresh.stop();
      quota.close();
      suspicionReports.stop();
      freezeWatch?.cancel();
      pool.close();
      for (const channel of [...openChannels]) {
        channel.close();
      }
    },
  };
}
