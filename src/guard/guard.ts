/**
 * The guard of the backend server on this VM. Every attempt goes through it. An
 * attempt that the guard refuses has not run and will never run.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import type { Departure } from "../control/departures.ts";
import type { Suspect } from "../control/suspicions.ts";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { EventLoopLag } from "../time/event_loop_lag.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { Channel } from "../network/channel.ts";
import { holdExchangeOrder } from "../network/exchange_order.ts";
import type { Attempt, Frame, Load } from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import { createViewResponder } from "../node/view_request.ts";
import type { Service } from "../settings/site.ts";
import { type Admission, createAdmission } from "./admission.ts";
import { createAttemptLog } from "./attempt_log.ts";
import { createAttemptLedger } from "./attempt_ledger.ts";
import { createAttemptService } from "./attempt_service.ts";
import type {
  AnswerMetadata,
  BackendError,
  BackendFactory,
} from "./backend.ts";
import {
  type CrashReports,
  createCrashWatch,
  type SuspicionFrame,
} from "./crash_watch.ts";
import { createResumption } from "./resumption.ts";
import {
  type Announcement,
  type AnnouncementResult,
  createServerLink,
} from "./server_link.ts";
import { createPredecessor, type Predecessor } from "./predecessor.ts";
import { createServerRates } from "./server_rates.ts";
import { createServerWatch } from "./server_watch.ts";
import { createKeepaliveSender } from "./keepalive_sender.ts";
import { createRefusalRules, type Lifecycle } from "./refusal_rules.ts";
import type { Completion } from "./warmup.ts";
import { createWithdrawalWatch } from "./withdrawal_watch.ts";

/** Options of {@link createGuard}. */
export interface GuardOptions {
  vm: string;
  domain: string;
  incarnation: string;
  directory: Directory;
  timer: Timer;
  lag: EventLoopLag;
  logger: Logger;
  recorder: Recorder;
  metrics: Metrics;
  createBackend: BackendFactory;
  /**
   * Notifies the other guards of the service that a request is suspected of a
   * crash, or cleared.
   */
  shareSuspicion: (frame: SuspicionFrame) => void;
  /** Reports to control, which keeps suspicions for guards that start later. */
  suspicionReports: CrashReports;
  /**
   * Called when an attempt names a newer version than that of the directory,
   * so that the node can fetch the newer one. `peer` is the address of the
   * sender; it may be empty.
   */
  onNewerVersion: (version: number, peer: string) => void;
  /** Called when the backend server says in its answers that it leaves. */
  onServerLeaving: (boot: string) => void;
  /**
   * Called when a decision needs a current load report of the backend server,
   * so that the node can request one if the last one is stale.
   */
  onReportNeeded?: () => void;
  /** Serves the frames that concern the limits of workspaces. */
  serveQuota?: (channel: Channel, frame: Frame) => Promise<void>;
}

/** State of a guard, as `/status` shows it. */
export interface GuardStatus {
  service: string;
  boot: string;
  inFlight: number;
  allowed: number;
  queued: number;
  cold: boolean;
  draining: boolean;
  probes: number;
  suspects: number;
}

/** Admits attempts to one backend server, runs them and refuses the others. */
export interface Guard {
  /** Incarnation of this guard; it changes with every restart. */
  readonly incarnation: string;
  /** The newest announcement of the backend server, if any. */
  readonly announced: Announcement | undefined;
  /** Processes an announcement and returns what it means for this guard. */
  announce(announcement: Announcement): AnnouncementResult;
  /**
   * Stops admitting because the backend server leaves, and resolves with `true`
   * once nothing is in flight. Resolves with `false` at once if another boot is
   * announced here. Announcements of `boot` are rejected from then on.
   */
  leave(boot: string): Promise<boolean>;
  /**
   * Checks that a backend server that was registered before still answers at
   * its address, is healthy and is not leaving.
   */
  verifyServer(registered: Announcement): Promise<boolean>;
  /** Applies the suspects that control has kept. */
  learnSuspects(suspects: readonly Suspect[]): void;
  /** Applies the registration that an earlier guard of this VM made. */
  learnRegistered: Predecessor["learnRegistered"];
  /** Rejects announcements of what has left. */
  rejectDeparted(departure: Departure): void;
  /**
   * Stops admitting; resolves once no sender waits for an attempt in flight.
   */
  drain(): Promise<void>;
  /**
   * Refuses everything from now on: another incarnation has replaced this one.
   */
  supersede(): void;
  /** Processes the frames of one channel until it closes. */
  serve(channel: Channel): Promise<void>;
  /**
   * Whether a request for a service would start at once and run at the usual
   * speed.
   */
  startsAtOnce(service: string): boolean;
  /** Returns the current load. */
  load(): Load;
  status(): GuardStatus;
  /**
   * Runs one health check; resolves with whether the backend server answered
   * it.
   */
  probe(): Promise<boolean>;
  /**
   * Age of the newest load report in milliseconds; infinite before the first.
   */
  readonly reportAgeMs: number;
}

const LEDGER_CAPACITY = 50_000;
const DRAIN_CHECK_MS = 10;
const DEFAULT_KEEPALIVE_MS = 100;

/**
 * Creates a guard; it refuses all attempts until a backend server is announced.
 */
export function createGuard(options: GuardOptions): Guard {
  const { vm, domain, incarnation, directory, timer, logger } = options;
  const { recorder } = options;
  const attemptLog = createAttemptLog({
    ...options,
    decisionInputs: () => ({
      load: load(),
      cold: rates.warmup.cold,
      boot: link.announced?.boot,
      reportAgeMs: link.report && link.reportAgeMs,
    }),
  });
  const ledger = createAttemptLedger(LEDGER_CAPACITY);
  const keepalives = createKeepaliveSender(timer, keepaliveMs);
  const resumption = createResumption({
    incarnation,
    ledger,
    keepalives,
    load,
  });
  const predecessor = createPredecessor({
    incarnation,
    startedAt: timer.wallTime(),
  });
  const rates = createServerRates({
    timer,
    settings,
    usableSlots: () => watch.usableSlots(slots()),
    unusedShare: () => predecessor.unusedShare(link.announced),
  });
  const admission: Admission = createAdmission({
    timer,
    warmup: () => rates.warmup,
    holdMs: (usualMs) => watch.holdMs(usualMs),
    limits: { connections: 1, queueLimit: 0, queueWaitMs: 1 },
  });
  const crashes = createCrashWatch({
    vm,
    domain,
    timer,
    logger,
    recorder,
    limits: () => ({
      crashes: directory.global?.limits.quarantine.crashes ?? 2,
      keepMs: directory.global?.limits.quarantine.keep_ms ?? 0,
    }),
    share: options.shareSuspicion,
    reports: options.suspicionReports,
  });
  const lifecycle: Lifecycle = {
    leaving: false,
    draining: false,
    superseded: false,
  };
  const viewFor = createViewResponder(directory);
  const watch = createServerWatch(timer);
  const link = createServerLink({
    timer,
    logger,
    createBackend: options.createBackend,
    connections: () => settings()?.connections,
    healthPath: () => settings()?.health_path,
    onCold: rates.noteCold,
    onLimit: rates.limit.noteAnswer,
    onLeaving(boot) {
      if (!lifecycle.leaving) {
        options.onServerLeaving(boot);
      }
    },
    onReport: (slowness) => {
      watch.report(slowness);
      admission.startWaitingRequests();
    },
  });
  const rules = createRefusalRules({
    vm,
    domain,
    incarnation,
    directory,
    timer,
    lifecycle,
    link,
    rates,
    admission,
    watch,
    crashes,
    settings,
  });
  const attempts = createAttemptService({
    ...options,
    rules,
    ledger,
    attemptLog,
    resumption,
    keepalives,
    admission,
    crashes,
    link,
    watch,
    settings,
    slots,
    load,
    onReportNeeded: () => options.onReportNeeded?.(),
    onFailure: handleFailure,
    onCompletion: handleCompletion,
    onAnswerMetadata: handleAnswerMetadata,
  });

  function settings(): Service | undefined {
    const { announced } = link;
    return announced && directory.service(announced.service)?.settings;
  }

  /** Number of requests that the backend server runs concurrently. */
  function slots(): number {
    return link.announced?.slots ?? settings()?.slots ?? 1;
  }

  function load(): Load {
    return {
      inFlight: admission.inFlight,
      allowed: link.down ? 0 : rates.sustained(admission.slotTimeMs),
      queued: admission.queued,
      version: directory.version,
      slowness: link.report?.slowness ?? 1,
      incarnation,
      leavingBoot: lifecycle.leaving ? link.announced?.boot : undefined,
    };
  }

  function keepaliveMs(): number {
    return directory.global?.limits.timeouts.keepalive_ms ??
      DEFAULT_KEEPALIVE_MS;
  }

  function applySettings(): void {
    const service = settings();
    if (!service) {
      return;
    }
    rates.setService(service);
    admission.setLimits({
      connections: service.connections,
      queueLimit: service.queue_limit,
      queueWaitMs: service.queue_wait_ms,
    });
  }

  const applyWithdrawal = createWithdrawalWatch({
    ...options,
    admission,
    rates,
    link,
  });
  directory.onChange(() => {
    applySettings();
    applyWithdrawal();
  });

  function restartWarmup(cause: string): void {
    rates.warmup.reset();
    logger.warn("guard.cold", { cause });
    recorder.record({ kind: "cold", server: vm, domain, cause });
  }

  function markServerDown(cause: string): void {
    if (link.markDown()) {
      admission.refuseWaiting("no_backend_server");
      restartWarmup(cause);
    }
  }

  /** Checks after a connection reset whether the backend server has crashed. */
  async function investigateReset(frame: Attempt): Promise<void> {
    crashes.noteReset(frame);
    const boot = link.announced?.boot;
    const health = await link.checkHealth();
    const sameBoot = boot === link.announced?.boot;
    if (health === "not_running" && sameBoot && !link.down) {
      crashes.recordCrash(`${vm} ${boot}`);
      markServerDown("crash");
    }
  }

  function handleFailure(frame: Attempt, error: BackendError): void {
    if (error.failure === "connect") {
      markServerDown("connection refused");
    } else if (error.failure === "reset") {
      void investigateReset(frame);
    }
  }

  function handleAnswerMetadata(
    metadata: AnswerMetadata,
    sentAt: number,
  ): void {
    if (metadata.otherInstance) {
      markServerDown("another instance is at the address");
      return;
    }
    link.applyAnswerMetadata(metadata, sentAt);
  }

  function handleCompletion(
    frame: Attempt,
    completion: Omit<Completion, "class">,
  ): void {
    const restarted = rates.warmup.complete({
      class: frame.class,
      ...completion,
    });
    if (restarted) {
      restartWarmup("late or failing answers");
    }
    admission.startWaitingRequests();
  }

  async function serveFrame(channel: Channel, frame: Frame): Promise<void> {
    switch (frame.kind) {
      case "attempt":
        return await attempts.serve(channel, frame);
      case "fence": {
        const other = frame.incarnation !== incarnation;
        const state = other ? "other_incarnation" : ledger.fence(frame.attempt);
        return await channel.send({ kind: "fence_state", state });
      }
      case "resume":
        return await resumption.serve(channel, frame);
      case "ping":
        return await channel.send({ kind: "pong", load: load() });
      case "suspicion":
        return crashes.applySuspicion(frame);
      case "view_request":
        return await channel.send({ kind: "view", view: viewFor(frame) });
      case "quota_ask":
      case "quota_lease":
        return await options.serveQuota?.(channel, frame);
      case "data":
      case "end":
        // The remaining body of a request whose attempt has ended.
        return;
      default:
        channel.close();
    }
  }

  async function waitUntilIdle(): Promise<void> {
    while (admission.inFlight > 0) {
      await sleep(timer, DRAIN_CHECK_MS);
    }
  }

  return {
    incarnation,
    get announced() {
      return link.announced;
    },
    startsAtOnce: rules.startsAtOnce,
    load,
    probe: link.probe,
    get reportAgeMs() {
      return link.reportAgeMs;
    },
    announce(next) {
      const previous = link.announced;
      const crashed = previous !== undefined && !lifecycle.leaving &&
        !link.down &&
        crashes.sawResets;
      const result = link.announce(next);
      if (result !== "new") {
        if (result === "renewed" && next.coldMs !== undefined) {
          rates.noteCold(next.coldMs);
        }
        return result;
      }
      if (crashed) {
        crashes.recordCrash(`${vm} ${previous.boot}`);
      }
      lifecycle.leaving = false;
      directory.subscribe(next.service);
      applySettings();
      restartWarmup("a new boot");
      rates.limit.reset();
      if (next.coldMs !== undefined) {
        rates.noteCold(next.coldMs);
      }
      // The answer to a health check may state for how long the server stays
      // cold, or that it limits its requests.
      void link.probe();
      return result;
    },
    verifyServer: link.verifyServer,
    learnSuspects: crashes.learn,
    learnRegistered: predecessor.learnRegistered,
    rejectDeparted: link.rejectDeparted,
    async leave(boot) {
      link.rejectDeparted({ kind: "boot", boot });
      if (link.announced?.boot !== boot) {
        return false;
      }
      lifecycle.leaving = true;
      admission.refuseWaiting("draining");
      recorder.record({
        kind: "leaving",
        server: vm,
        domain,
        cause: "the backend server leaves",
      });
      await waitUntilIdle();
      return true;
    },
    async drain() {
      lifecycle.draining = true;
      admission.refuseWaiting("draining");
      recorder.record({
        kind: "leaving",
        server: vm,
        domain,
        cause: "the node stops",
      });
      while (attempts.hasAwaitedRun()) {
        await sleep(timer, DRAIN_CHECK_MS);
      }
    },
    supersede() {
      lifecycle.superseded = true;
      admission.refuseWaiting("superseded");
      logger.error("guard.superseded", { incarnation });
    },
    async serve(connection) {
      const channel = holdExchangeOrder(connection);
      try {
        while (!channel.closed) {
          const frame = await channel.receive();
          if (!frame) {
            return;
          }
          await serveFrame(channel, frame);
        }
      } catch (error) {
        // A sender closes its channel when it abandons an attempt: no fault.
        if (!channel.closed) {
          logger.warn("guard.channel_failed", {
            peer: channel.peer,
            ...errorFields(error),
          });
        }
      } finally {
        channel.close();
      }
    },
    status: () => ({
      service: link.announced?.service ?? "",
      boot: link.announced?.boot ?? "",
      ...load(),
      cold: rates.rampCold,
      draining: lifecycle.draining || lifecycle.leaving,
      probes: link.probes,
      suspects: crashes.suspects,
    }),
  };
}
