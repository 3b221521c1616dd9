/**
 * The gate in front of the backend server on this VM. Every attempt passes
 * here, and what a guard refuses has not run and never will.
 * @module
 */
import type { Recorder } from "../account/events.ts";
import {
  type Cancellation,
  createCanceller,
  neverCancelled,
} from "../core/cancellation.ts";
import { errorFields } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Metrics } from "../metrics/metrics.ts";
import { arrivalOf, type EventLoopLag } from "../time/event_loop_lag.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { Channel } from "../network/channel.ts";
import type {
  Attempt,
  AttemptId,
  Frame,
  Load,
  RefusalReason,
  Refused,
} from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import type { Service } from "../settings/site.ts";
import {
  type Admission,
  type Applicant,
  createAdmission,
} from "./admission.ts";
import { createAttemptNotes, type Refusal } from "./attempt_notes.ts";
import { createAttemptLedger } from "./attempt_ledger.ts";
import type {
  BackendError,
  BackendFactory,
  BackendVerdict,
} from "./backend.ts";
import { type ColdRamp, createColdRamp, type RampLimits } from "./cold_ramp.ts";
import { createColdRate } from "./cold_rate.ts";
import { createCrashWatch, type SuspicionFrame } from "./crash_watch.ts";
import { createResumption } from "./resumption.ts";
import { type End, runAttempt } from "./run.ts";
import {
  type Announcement,
  type AnnouncementResult,
  createServerLink,
} from "./server_link.ts";
import { createServerWatch } from "./server_watch.ts";
import { createSignsOfLife } from "./signs_of_life.ts";
import { isFirstChoice } from "./first_choice.ts";
import { sheddingReason } from "./load_shedding.ts";
import type { Completion, Warmup } from "./warmup.ts";

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
  /** Tells the other guards of the service about a crash or an acquittal. */
  shareSuspicion: (frame: SuspicionFrame) => void;
  /** A peer, at this address if it is not empty, holds a newer version. */
  onNewerVersion: (version: number, peer: string) => void;
  /** A decision needs the backend server's present report. */
  onReportNeeded?: () => void;
}

/** What a guard shows of itself. */
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

/** The gate in front of one backend server. */
export interface Guard {
  /** Incarnation of this guard; a restart gives a new one. */
  readonly incarnation: string;
  /** The announced backend server, if any. */
  readonly announced: Announcement | undefined;
  /** Takes an announcement; returns whether it is the newest. */
  announce(announcement: Announcement): AnnouncementResult;
  /** The backend server leaves; resolves once nothing is in flight. */
  leave(boot: string): Promise<boolean>;
  /**
   * Whether a backend server that was registered before is there, well, and
   * not leaving.
   */
  finds(registered: Announcement): Promise<boolean>;
  /** Takes no announcement of an instance that started by a Unix time. */
  barInstance(instance: string, startedBy: number): void;
  /** Stops admitting; resolves once nobody waits for what is in flight. */
  drain(): Promise<void>;
  /** Another incarnation took this VM's place for good. */
  supersede(): void;
  /** Answers the attempts of one channel until it closes. */
  serve(channel: Channel): Promise<void>;
  /** Whether a request for a service would begin at once, and run as usual. */
  startsAtOnce(service: string): boolean;
  /** Present load. */
  load(): Load;
  /** Returns the state of the guard. */
  status(): GuardStatus;
  /** Checks the backend server's health once. */
  probe(): Promise<boolean>;
  /** Age of the server's own load report in ms; infinite without one. */
  readonly reportAgeMs: number;
}

const LEDGER_CAPACITY = 50_000;
const DRAIN_CHECK_MS = 10;
/** Time past its deadline for which the end of a run is still waited for. */
const ANSWER_GRACE_MS = 100;
const RETRY_AFTER_MS = 250;
const DEFAULT_KEEPALIVE_MS = 100;

function rampLimits(service: Service): RampLimits {
  return {
    coldLimit: service.cold_limit,
    slots: service.slots,
    completionsPerSlot: service.ramp_completions,
    slowFactor: service.slow_factor,
  };
}

/** Time for which a server is taken for cold if the settings do not say. */
const DEFAULT_COLD_MS = 3_000;

const UNSET_RAMP: RampLimits = {
  coldLimit: 1,
  slots: 1,
  completionsPerSlot: 1,
  slowFactor: 1,
};

/** Creates a guard that knows no backend server yet. */
export function createGuard(options: GuardOptions): Guard {
  const { vm, domain, incarnation, directory, timer, logger } = options;
  const { recorder, metrics, lag } = options;
  const notes = createAttemptNotes({
    ...options,
    moment: () => ({
      load: load(),
      cold: warmup().cold,
      boot: link.announced?.boot,
      reportAgeMs: link.report && link.reportAgeMs,
    }),
  });
  const ledger = createAttemptLedger(LEDGER_CAPACITY);
  const signs = createSignsOfLife(timer, keepaliveMs);
  const resumption = createResumption({ incarnation, ledger, signs, load });
  const ramp: ColdRamp = createColdRamp(UNSET_RAMP);
  const coldRate = createColdRate(timer, () => ({
    perSecond: settings()?.cold_rate_per_s ?? 1,
    coldMs: settings()?.cold_ms ?? DEFAULT_COLD_MS,
    slots: watch.worthFilling(slots()),
  }), timer.now());
  const admission: Admission = createAdmission({
    timer,
    warmup,
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
  });
  const watch = createServerWatch(timer);
  const link = createServerLink({
    timer,
    logger,
    createBackend: options.createBackend,
    connections: () => settings()?.connections,
    healthPath: () => settings()?.health_path,
    onCold: coldRate.noteCold,
    onReport: (slowness) => {
      watch.report(slowness);
      admission.pump();
    },
  });
  /** Runs in flight, with the channels on which their ends are awaited. */
  const runs = new Set<{ channel: Channel; deadlineAt: number }>();
  let leaving = false;
  let draining = false;
  let superseded = false;
  let wasOut = false;

  function settings(): Service | undefined {
    const { announced } = link;
    return announced && directory.service(announced.service)?.settings;
  }

  /** Requests that the backend server runs at once. */
  function slots(): number {
    return link.announced?.slots ?? settings()?.slots ?? 1;
  }

  /** The warm-up that fits what is known of the service. */
  function warmup(): Warmup {
    return settings()?.cold_rate_per_s === undefined ? ramp : coldRate;
  }

  function load(): Load {
    return {
      inFlight: admission.inFlight,
      allowed: link.down ? 0 : warmup().allowed,
      queued: admission.queued,
      version: directory.version,
      slowness: link.report?.slowness ?? 1,
      incarnation,
    };
  }

  function keepaliveMs(): number {
    return directory.global?.limits.timeouts.keepalive_ms ??
      DEFAULT_KEEPALIVE_MS;
  }

  function isOut(): boolean {
    return directory.domainOut(domain) || directory.serverOut(vm);
  }

  function applySettings(): void {
    const service = settings();
    if (!service) {
      return;
    }
    ramp.setLimits(rampLimits(service));
    admission.setLimits({
      connections: service.connections,
      queueLimit: service.queue_limit,
      queueWaitMs: service.queue_wait_ms,
    });
  }

  /** Refuses waiting work when going out, and ramps up when coming back. */
  function applyWithdrawal(): void {
    const out = isOut();
    if (out === wasOut) {
      return;
    }
    wasOut = out;
    if (out) {
      const reason = directory.domainOut(domain) ? "domain_out" : "server_out";
      admission.refuseWaiting(reason);
      recorder.record({ kind: "withdrawn", server: vm, domain, cause: reason });
    } else {
      warmup().reset();
      void link.probe();
      recorder.record({ kind: "returned", server: vm, domain });
    }
    logger.info(out ? "guard.withdrawn" : "guard.returned", { domain });
  }

  directory.onChange(() => {
    applySettings();
    applyWithdrawal();
  });

  function standing(frame: Attempt): RefusalReason | undefined {
    if (superseded) {
      return "superseded";
    }
    if (frame.incarnation !== incarnation) {
      return "other_incarnation";
    }
    const closed = closedTo(frame.service);
    if (closed) {
      return closed;
    }
    return crashes.judge(frame) === "quarantined" ? "quarantined" : undefined;
  }

  /** Why nothing runs here for a service, whatever the request. */
  function closedTo(service: string): RefusalReason | undefined {
    if (draining || leaving) {
      return "draining";
    }
    if (directory.domainOut(domain)) {
      return "domain_out";
    }
    if (directory.serverOut(vm)) {
      return "server_out";
    }
    const serves = link.announced?.service === service;
    if (!link.backend || link.down || !serves) {
      return "no_backend_server";
    }
    return settings() ? undefined : "not_ready";
  }

  function startsAtOnce(service: string): boolean {
    if (superseded || closedTo(service) || warmup().cold) {
      return false;
    }
    return isFirstChoice({
      inFlight: admission.inFlight,
      queued: admission.queued,
      allowed: warmup().allowed,
      report: link.report &&
        { slowness: link.report.slowness, ageMs: link.reportAgeMs },
      failingShare: watch.failingShare(),
    });
  }

  /** Why another guard is the better place, if the sender will ask one. */
  function betterElsewhere(frame: Attempt): Refusal | undefined {
    if (!frame.elsewhere) {
      return undefined;
    }
    const { objectiveLeftMs = Infinity } = frame;
    const waitMs = admission.expectedWaitMs(
      applicantOf(frame, { alone: false, signal: neverCancelled }),
    );
    const reason = sheddingReason({
      slowness: link.report?.slowness ?? 1,
      reportAgeMs: link.reportAgeMs,
      waitMs,
      slackMs: objectiveLeftMs - watch.usualMs(frame.class),
      failingShare: watch.failingShare(),
    });
    return reason && { reason, waitMs };
  }

  /** Why an attempt does not run here, if that is certain at once. */
  function refusalOf(frame: Attempt): Refusal | undefined {
    const reason = standing(frame);
    return reason ? { reason } : betterElsewhere(frame);
  }

  /** The attempt as it asks to run. */
  function applicantOf(
    frame: Attempt,
    options: { alone: boolean; signal: Cancellation },
  ): Applicant {
    const { objectiveLeftMs } = frame;
    const now = timer.now();
    return {
      tenant: frame.tenant,
      rank: frame.rank,
      deadlineAt: now + frame.timeLeftMs,
      objectiveAt: objectiveLeftMs === undefined
        ? undefined
        : now + objectiveLeftMs,
      usualMs: watch.usualMs(frame.class),
      ...options,
    };
  }

  /** Creates a refusal of an attempt that the ledger holds as fenced. */
  function refusal(
    attempt: AttemptId,
    { reason, waitMs }: Refusal,
  ): Refused {
    return {
      kind: "refused",
      attempt,
      reason,
      retryAfterMs: waitMs ?? RETRY_AFTER_MS,
      load: load(),
    };
  }

  function turnCold(cause: string): void {
    warmup().reset();
    logger.warn("guard.cold", { cause });
    recorder.record({ kind: "cold", server: vm, domain, cause });
  }

  function goDown(cause: string): void {
    if (link.markDown()) {
      admission.refuseWaiting("no_backend_server");
      turnCold(cause);
    }
  }

  /** Finds out whether a reset connection meant a crash. */
  async function examineReset(frame: Attempt): Promise<void> {
    crashes.noteReset(frame);
    const boot = link.announced?.boot;
    const condition = await link.examine();
    const same = boot === link.announced?.boot;
    if (condition === "gone" && same && !link.down) {
      crashes.accuse(`${vm} ${boot}`);
      goDown("crash");
    }
  }

  function noteFailure(frame: Attempt, error: BackendError): void {
    if (error.failure === "connect") {
      goDown("connection refused");
    } else if (error.failure === "reset") {
      void examineReset(frame);
    }
  }

  function noteVerdict(verdict: BackendVerdict): void {
    if (verdict.otherInstance) {
      goDown("another instance is at the address");
      return;
    }
    link.noteVerdict(verdict);
  }

  function noteCompletion(
    frame: Attempt,
    completion: Omit<Completion, "class">,
  ): void {
    const turnedCold = warmup().complete({
      class: frame.class,
      ...completion,
    });
    if (turnedCold) {
      turnCold("late or failing answers");
    }
    admission.pump();
  }

  async function serveAttempt(channel: Channel, frame: Attempt): Promise<void> {
    const { attempt } = frame;
    options.onReportNeeded?.();
    if (frame.version > directory.version) {
      options.onNewerVersion(frame.version, frame.from);
    }
    const refusedAtOnce = refusalOf(frame);
    const begun = refusedAtOnce ? ledger.fence(attempt) : ledger.start(attempt);
    if (begun === "fenced") {
      const refused = refusedAtOnce ?? { reason: "fenced" };
      notes.refused(frame, refused);
      await channel.send(refusal(attempt, refused));
      return;
    }
    if (begun !== "started") {
      // Its first copy was or will be answered on its own channel.
      channel.close();
      return;
    }
    const taken = resumption.take(attempt);
    try {
      await admitAndRun(channel, { frame, ended: taken.ended });
    } finally {
      taken.release();
    }
  }

  /** Refuses an attempt that the ledger took in, but that did not run. */
  async function refuseStarted(
    channel: Channel,
    { frame, refused, ended }: {
      frame: Attempt;
      refused: Refusal;
      ended: (end: End) => void;
    },
  ): Promise<void> {
    ledger.set(frame.attempt, "fenced");
    notes.refused(frame, refused);
    const end = refusal(frame.attempt, refused);
    ended(end);
    if (!channel.closed) {
      await channel.send(end);
    }
  }

  async function admitAndRun(
    channel: Channel,
    { frame, ended }: { frame: Attempt; ended: (end: End) => void },
  ): Promise<void> {
    const gone = createCanceller();
    const release = channel.onClose(gone.cancel);
    // A long wait must not look like a lost connection.
    const endSigns = signs.show(channel);
    function endedForGood(end: End): void {
      endSigns();
      ended(end);
    }
    try {
      await admitWhileWanted(channel, { frame, gone, ended: endedForGood });
    } finally {
      endSigns();
      release();
    }
  }

  async function admitWhileWanted(
    channel: Channel,
    { frame, gone, ended }: {
      frame: Attempt;
      gone: Cancellation;
      ended: (end: End) => void;
    },
  ): Promise<void> {
    const alone = frame.suspect || crashes.judge(frame) === "suspect";
    const { attempt } = frame;
    const askedAt = timer.now();
    const admitting = admission.admit(
      applicantOf(frame, { alone, signal: gone }),
    );
    if (admission.queued > 0) {
      options.onReportNeeded?.();
    }
    const verdict = await admitting;
    const waitedMs = timer.now() - askedAt;
    metrics.timing("queue_wait", frame.class, waitedMs);
    if (verdict.kind === "refused") {
      await refuseStarted(channel, { frame, refused: verdict, ended });
      return;
    }
    if (lag.late) {
      await lag.closingsKnown();
    }
    // The standing may have changed during the wait.
    const late = gone.cancelled ? "cancelled" : standing(frame);
    const { backend } = link;
    if (late || !backend) {
      verdict.place.release();
      const reason = late ?? "no_backend_server";
      await refuseStarted(channel, { frame, refused: { reason }, ended });
      return;
    }
    const running = { channel, deadlineAt: askedAt + frame.timeLeftMs };
    runs.add(running);
    const runWatch = watch.begin({
      class: frame.class,
      busy: admission.inFlight,
      slots: slots(),
      slowness: link.report?.slowness ?? 1,
      onSlow() {
        if (frame.repeatable && !channel.closed) {
          void channel.send({ kind: "slow" }).catch(() => {});
        }
      },
    });
    const run = runAttempt({
      channel,
      frame,
      backend,
      instance: link.announced?.instance ?? "",
      timer,
      gone,
      load,
      shedMeansNotRun: settings()?.shed_means_not_run ?? false,
      onFailure: (error) => noteFailure(frame, error),
      onCompletion: (completion) => {
        if (completion.ok) {
          runWatch.completed(completion.latencyMs, admission.inFlight);
        }
        noteCompletion(frame, completion);
      },
      onVerdict: noteVerdict,
    });
    const ending = run.ended.then((end) => {
      runWatch.ended(end);
      runs.delete(running);
      notes.ended(frame, end, waitedMs);
      verdict.place.release();
      if (end.kind === "refused") {
        ledger.set(attempt, "fenced");
        ended(end);
        return;
      }
      ledger.set(attempt, end.kind === "answer" ? "finished" : "failed");
      resumption.keep(end);
      if (alone && end.kind === "answer") {
        crashes.acquit(frame);
      }
      ended(end);
    });
    try {
      await run.delivered;
    } finally {
      await ending;
    }
  }

  /**
   * Takes an attempt whose cancellation may lie behind it: the sender closes
   * the channel. It is known by then, and so is the time that is left.
   */
  async function serveLate(channel: Channel, frame: Attempt): Promise<void> {
    const readAt = timer.now();
    const arrivedAt = arrivalOf(readAt, channel.unreadMs ?? 0);
    await lag.caughtUp(() => channel.closed);
    if (channel.closed) {
      metrics.count("left_unread");
      return;
    }
    const agedMs = timer.now() - arrivedAt;
    const { timeLeftMs, objectiveLeftMs } = frame;
    await serveAttempt(channel, {
      ...frame,
      timeLeftMs: Math.max(0, timeLeftMs - agedMs),
      objectiveLeftMs: objectiveLeftMs && objectiveLeftMs - agedMs,
    });
  }

  async function serveFrame(channel: Channel, frame: Frame): Promise<void> {
    switch (frame.kind) {
      case "attempt":
        return channel.late
          ? await serveLate(channel, frame)
          : await serveAttempt(channel, frame);
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
        return crashes.hear(frame);
      case "view_request": {
        const view = directory.export(frame.services);
        return await channel.send({ kind: "view", view });
      }
      case "data":
      case "end":
        // The rest of a request body whose attempt was refused or cut.
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

  /** Whether somebody still waits for the end of a run. */
  function isAwaited(): boolean {
    const now = timer.now();
    return [...runs].some(({ channel, deadlineAt }) =>
      !channel.closed || now < deadlineAt + ANSWER_GRACE_MS
    );
  }

  return {
    incarnation,
    get announced() {
      return link.announced;
    },
    startsAtOnce,
    load,
    probe: link.probe,
    get reportAgeMs() {
      return link.reportAgeMs;
    },
    announce(next) {
      const previous = link.announced;
      const crashed = previous !== undefined && !leaving && !link.down &&
        crashes.sawResets;
      const result = link.announce(next);
      if (result !== "new") {
        if (result === "renewed" && next.coldMs) {
          coldRate.noteCold(next.coldMs);
        }
        return result;
      }
      if (crashed) {
        crashes.accuse(`${vm} ${previous.boot}`);
      }
      leaving = false;
      directory.subscribe(next.service);
      applySettings();
      turnCold("a new boot");
      if (next.coldMs !== undefined) {
        coldRate.noteCold(next.coldMs);
      } else {
        // Its health check may tell.
        void link.probe();
      }
      return result;
    },
    finds: link.finds,
    barInstance: link.barInstance,
    async leave(boot) {
      link.bar(boot);
      if (link.announced?.boot !== boot) {
        return false;
      }
      leaving = true;
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
      draining = true;
      admission.refuseWaiting("draining");
      recorder.record({
        kind: "leaving",
        server: vm,
        domain,
        cause: "the node stops",
      });
      while (isAwaited()) {
        await sleep(timer, DRAIN_CHECK_MS);
      }
    },
    supersede() {
      superseded = true;
      admission.refuseWaiting("superseded");
      logger.error("guard.superseded", { incarnation });
    },
    async serve(channel) {
      try {
        while (!channel.closed) {
          const frame = await channel.receive();
          if (!frame) {
            return;
          }
          await serveFrame(channel, frame);
        }
      } catch (error) {
        // Senders close their channel when they give an attempt up.
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
      cold: ramp.cold,
      draining: draining || leaving,
      probes: link.probes,
      suspects: crashes.suspects,
    }),
  };
}
