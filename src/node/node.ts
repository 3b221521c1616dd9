/**
 * The `node` role: ingress, guard, and what keeps them informed. Free of HTTP,
 * so that it also runs embedded and under a test's control.
 * @module
 */
import { createRecorder, type Recorder } from "../account/events.ts";
import type { Member } from "../control/commands.ts";
import { claimMethod, settleMethod } from "../control/node_methods.ts";
import { errorFields } from "../core/errors.ts";
import { createLimitedLog } from "../core/log_limit.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Supervisor } from "../core/tasks.ts";
import type { BackendFactory } from "../guard/backend.ts";
import { createGuard, type Guard } from "../guard/guard.ts";
import type { Announcement, AnnouncementResult } from "../guard/server_link.ts";
import { createRateBudget } from "../ingress/budget.ts";
import { createExchanger } from "../ingress/exchange.ts";
import { SILENCE_FINDINGS, type SilenceFinding } from "../ingress/inquiry.ts";
import {
  type ClaimService,
  createIngress,
  type Ingress,
} from "../ingress/ingress.ts";
import { createPeerPool, type PeerPool } from "../ingress/peer_pool.ts";
import { createMetrics, type Metrics } from "../metrics/metrics.ts";
import type { Channel, Listener, Network } from "../network/channel.ts";
import type { Frame } from "../network/frames.ts";
import { localFirst } from "../network/local.ts";
import type { Rpc } from "../rpc/rpc.ts";
import { type EventLoopLag, noLag } from "../time/event_loop_lag.ts";
import { sleep, type Timer } from "../time/timer.ts";
import { createControlClient } from "./control_client.ts";
import { createDirectory, type Directory } from "./directory.ts";
import { type FreezeWatch, watchFreezes } from "./freeze_watch.ts";
import { createRegistration } from "./registration.ts";
import { createReportRefresh } from "./report_refresh.ts";
import { createSync, type Sync } from "./sync.ts";

/** Options of {@link createNode}. */
export interface NodeOptions {
  vm: string;
  domain: string;
  region: string;
  /** Where other nodes' attempts are taken. */
  peerAddress: string;
  /** Service of this VM; by default that of the announced backend server. */
  service?: string;
  controlAddresses: readonly string[];
  network: Network;
  rpc: Rpc;
  timer: Timer;
  random: Random;
  logger: Logger;
  supervisor: Supervisor;
  createBackend: BackendFactory;
  /** Lag of the process; none by default. */
  lag?: EventLoopLag;
  /** Name of the choosing policy. */
  policy?: string;
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
  /** Whether it takes calls and has a confirmed view. */
  readonly ready: boolean;
  /** Starts to take attempts and to ask for news. */
  start(): Promise<void>;
  /** Takes over addresses of control replicas from changed settings. */
  setControlAddresses(addresses: readonly string[]): void;
  /** Takes an announcement of the backend server. */
  announce(announcement: Announcement): Promise<AnnouncementResult>;
  /**
   * The backend server leaves; resolves once nothing is in flight. `onRecorded`
   * is called once control has recorded it, so that it binds a later process.
   */
  leave(boot: string, onRecorded?: () => void): Promise<boolean>;
  /** An instance has left whose start is not known here. */
  barInstance(instance: string): void;
  /** First half of a planned stop: says so, and takes no more attempts. */
  drain(): Promise<void>;
  /** Second half: closes everything. */
  stop(): Promise<void>;
}

const RECORDER_CAPACITY = 4_000;
const DEFAULT_TIMEOUTS = {
  connect_ms: 250,
  silence_ms: 400,
  idle_ping_ms: 1_000,
};
const HEALTH_INTERVAL_MS = 250;
/** Path of health checks until the service's settings are known. */
const DEFAULT_HEALTH_PATH = "/health";
/** Time without announcements after which the backend server is gone. */
const ANNOUNCEMENT_LEASE_MS = 10_000;
/** Longest wait for control when the process stops, in milliseconds. */
const DEREGISTER_MS = 200;
/** Longest wait for the node's own tasks then, in milliseconds. */
const TASKS_END_MS = 100;
/** Lines a second about silent guards. */
const SILENCE_LINES_PER_S = 5;
/** Interval at which it is looked whether announcements have ended, in ms. */
const ANNOUNCEMENT_CHECK_MS = 1_000;

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
    first: random.integer(options.controlAddresses.length),
  });
  const registration = createRegistration({
    client,
    timer,
    logger,
    onSuperseded: () => guard.supersede(),
  });
  const local = localFirst(options.network, {
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
    onOwnRecord: (own) => void recall(own),
  });
  const pool: PeerPool = createPeerPool({
    network: local.network,
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
    onSilence: noteSilence,
  });
  const silenceLog = createLimitedLog({
    timer,
    logger,
    perSecond: SILENCE_LINES_PER_S,
  });
  const claims: ClaimService = {
    async claim(claim, deadlineAt) {
      const result = await client.callLeader(claimMethod, {
        request: { kind: "claim", ...claim },
        deadlineAt,
      });
      return result ?? { kind: "unavailable" };
    },
    settle(settlement) {
      void client.callLeader(settleMethod, {
        request: settlement,
        deadlineAt: timer.now() + DEFAULT_TIMEOUTS.idle_ping_ms,
      });
    },
  };
  const ingress = createIngress({
    vm,
    domain,
    peerAddress: options.peerAddress,
    caller: () => options.service ?? guard.announced?.service ?? "",
    incarnation,
    directory,
    exchanger,
    claims,
    subscribe: sync.subscribe,
    onNewerVersion: sync.catchUp,
    timer,
    lag,
    random,
    metrics,
    recorder,
    logger,
    policy: options.policy,
    startsHere: (service) => guard.startsAtOnce(service),
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
    shareSuspicion: (frame) => void shareSuspicion(frame),
    onNewerVersion: sync.catchUp,
    onReportNeeded: () => refresh.needed(),
  });
  const refresh = createReportRefresh({
    timer,
    ageMs: () => guard.reportAgeMs,
    queued: () => guard.load().queued,
    ask: checkHealth,
  });
  const probeBudget = createRateBudget(
    timer,
    () => directory.global?.limits.measuring.probes_per_node_per_s ?? 0,
  );
  const healthBudget = createRateBudget(
    timer,
    () => directory.global?.limits.measuring.probes_per_server_per_s ?? 0,
  );
  metrics.showCounter("guard_silences", {
    label: "finding",
    values: [...SILENCE_FINDINGS],
  });
  metrics.count("left_unread", 0);
  metrics.gauge("view_version", () => directory.version);
  metrics.gauge("view_age_seconds", () => (timer.now() - sync.heardAt) / 1_000);
  metrics.gauge("requests_in_flight", () => ingress.inFlight);
  metrics.gauge("guard_in_flight", () => guard.load().inFlight);
  metrics.gauge("guard_queued", () => guard.load().queued);
  metrics.gauge("guard_allowed", () => guard.load().allowed);
  metrics.gauge("server_slowness", () => guard.load().slowness);
  const open = new Set<Channel>();
  let listener: Listener | undefined;
  let freezes: FreezeWatch | undefined;
  let announcedAt = timer.now();
  let leaving = false;
  let stopping = false;

  /** Tells a guard that is lost from one, or a node, that is held up. */
  function noteSilence(silence: SilenceFinding): void {
    const { finding, peer, requestId, silentMs, lateMs } = silence;
    metrics.countBy("guard_silences", { name: "finding", value: finding });
    silenceLog.info("exchange.silent", {
      request: requestId,
      peer,
      finding,
      silent_ms: Math.round(silentMs),
      late_ms: Math.round(lateMs),
    });
  }

  function serve(channel: Channel): void {
    open.add(channel);
    channel.onClose(() => open.delete(channel));
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
  ): Promise<AnnouncementResult> {
    const result = guard.announce(announcement);
    if (result === "outdated") {
      return result;
    }
    announcedAt = timer.now();
    if (result === "new") {
      leaving = false;
    }
    // A server that leaves may go on announcing itself until it has ended.
    const goes = leaving || stopping;
    const unregistered = registration.renewal() === undefined;
    if (!goes && (result === "new" || unregistered)) {
      await sync.subscribe(announcement.service);
      await register();
    }
    return result;
  }

  /**
   * Takes the backend server up again that an earlier process of this node has
   * registered, without waiting until it announces itself. One that leaves, or
   * that is another than was registered, has to announce itself.
   */
  async function recall(own: Member): Promise<void> {
    const { backend } = own;
    if (!backend || own.leaving || own.incarnation === incarnation) {
      return;
    }
    const announcement: Announcement = {
      service: own.service,
      boot: own.boot,
      slots: own.slots,
      sequence: 0,
      healthPath: DEFAULT_HEALTH_PATH,
      ...backend,
    };
    await sync.subscribe(own.service);
    const found = await guard.finds(announcement);
    if (found && !guard.announced) {
      logger.info("node.recalled", { boot: own.boot });
      await announce(announcement);
    }
  }

  async function register(): Promise<boolean> {
    const current = member();
    return current !== undefined && await registration.register(current);
  }

  async function shareSuspicion(frame: Frame): Promise<void> {
    const service = guard.announced?.service ?? "";
    const members = directory.service(service)?.members ?? [];
    await Promise.all(members.map(async ({ server, address }) => {
      if (server === vm) {
        return;
      }
      try {
        const channel = await pool.take(address);
        await channel.send(frame);
        pool.giveBack(channel);
      } catch {
        // A guard that cannot be reached hears of the next crash.
      }
    }));
  }

  /** Probes guards of subscribed services about which nothing is known. */
  async function probeUnknown(): Promise<void> {
    for (const service of Object.keys(directory.known.services)) {
      for (const one of directory.service(service)?.members ?? []) {
        const wanted = one.server !== vm && directory.inService(one) &&
          ingress.hints.isUnknown(one.server);
        if (!wanted || !probeBudget.take()) {
          continue;
        }
        metrics.count("probes");
        const load = await pool.ping(one.address);
        if (load) {
          ingress.hints.report(one.server, load);
        }
      }
    }
  }

  async function probeTask(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, HEALTH_INTERVAL_MS, { signal });
      await probeUnknown();
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

  /** What was known before a freeze is old, and announcements were not read. */
  function noteFreeze(frozenMs: number): void {
    logger.warn("node.was_frozen", { ms: Math.round(frozenMs) });
    announcedAt = timer.now();
    sync.now().catch((error) =>
      logger.warn("node.sync_failed", errorFields(error))
    );
  }

  /** Notices that announcements ended. */
  async function announcementTask(): Promise<void> {
    while (!signal.aborted) {
      await sleep(timer, ANNOUNCEMENT_CHECK_MS, { signal });
      freezes?.look();
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
      return sync.confirmed && directory.global !== undefined && !stopping;
    },
    setControlAddresses: client.setSeeds,
    async start() {
      if (options.service !== undefined) {
        directory.subscribe(options.service);
      }
      listener = await options.network.listen(options.peerAddress, serve);
      sync.start();
      supervisor.start("node.probe", probeTask);
      supervisor.start("node.announcements", announcementTask);
      freezes = watchFreezes(timer, noteFreeze);
    },
    announce,
    async leave(boot, onRecorded = () => {}) {
      if (guard.announced?.boot !== boot) {
        // A start that is not known here has left all the same.
        onRecorded();
        return await guard.leave(boot);
      }
      leaving = true;
      const told = register().then((recorded) => {
        if (recorded) {
          onRecorded();
        }
      });
      const done = await guard.leave(boot);
      await told;
      await registration.leave();
      return done;
    },
    barInstance: (instance) => guard.barInstance(instance, timer.wallTime()),
    async drain() {
      stopping = true;
      const limits = directory.global?.limits.timeouts;
      void register();
      // Other ingresses hear of it while this guard still admits.
      await sleep(timer, limits?.linger_ms ?? 0);
      await guard.drain();
    },
    async stop() {
      // Without control its lease runs out instead.
      await Promise.race([
        registration.leave(DEREGISTER_MS).then(sync.now),
        sleep(timer, DEREGISTER_MS),
      ]);
      await listener?.close();
      // A call under way to control may last longer than the process has.
      await Promise.race([supervisor.stop(), sleep(timer, TASKS_END_MS)]);
      refresh.stop();
      freezes?.cancel();
      pool.close();
      for (const channel of [...open]) {
        channel.close();
      }
    },
  };
}
