/**
 * Serves the attempts that a guard receives: refuses those that may not run,
 * lets the others wait for a slot, runs them, and sends their ends.
 *
 * A sender ends the wait for a slot, and an idempotent run, by closing its
 * channel. A run that must not be repeated goes on; its end is kept, and the
 * sender can ask for it again.
 * @module
 */
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Channel } from "../network/channel.ts";
import type { Attempt, AttemptId, Load, Refused } from "../network/frames.ts";
import type { Directory } from "../node/directory.ts";
import type { Service } from "../settings/site.ts";
import { estimateArrival, type EventLoopLag } from "../time/event_loop_lag.ts";
import type { Timer } from "../time/timer.ts";
import type { Admission } from "./admission.ts";
import type { AttemptLedger } from "./attempt_ledger.ts";
import type { AttemptLog, Refusal } from "./attempt_log.ts";
import type { AnswerMetadata, BackendError } from "./backend.ts";
import type { CrashWatch } from "./crash_watch.ts";
import type { KeepaliveSender } from "./keepalive_sender.ts";
import type { RefusalRules } from "./refusal_rules.ts";
import type { Resumption } from "./resumption.ts";
import { type AttemptResult, runAttempt } from "./run.ts";
import type { ServerLink } from "./server_link.ts";
import type { ServerWatch } from "./server_watch.ts";
import type { Completion } from "./warmup.ts";

/** Options of {@link createAttemptService}: the parts of a guard that it uses. */
export interface AttemptServiceOptions {
  directory: Directory;
  timer: Timer;
  lag: EventLoopLag;
  metrics: Metrics;
  rules: RefusalRules;
  ledger: AttemptLedger;
  attemptLog: AttemptLog;
  resumption: Resumption;
  keepalives: KeepaliveSender;
  admission: Admission;
  crashes: CrashWatch;
  link: ServerLink;
  watch: ServerWatch;
  settings: () => Service | undefined;
  /** Returns the number of requests that the server runs concurrently. */
  slots: () => number;
  load: () => Load;
  /** Called when a decision needs a current load report of the server. */
  onReportNeeded: () => void;
  /** Called when an attempt names a newer version than the directory has. */
  onNewerVersion: (version: number, peer: string) => void;
  /** Called when a run has ended without an answer. */
  onFailure: (frame: Attempt, error: BackendError) => void;
  /** Called when a run has ended. */
  onCompletion: (
    frame: Attempt,
    completion: Omit<Completion, "class">,
  ) => void;
  /** Called with what the head of an answer states about the server. */
  onAnswerMetadata: (metadata: AnswerMetadata, sentAt: number) => void;
}

/** Serves attempts. */
export interface AttemptService {
  /** Serves one attempt; resolves once its end was sent or the channel closed. */
  serve(channel: Channel, frame: Attempt): Promise<void>;
  /** Whether a sender may still wait for the result of an attempt that runs. */
  hasAwaitedRun(): boolean;
}

/**
 * Time past its deadline for which a drain waits for an attempt whose channel
 * has closed.
 */
const ANSWER_GRACE_MS = 100;
const RETRY_AFTER_MS = 250;

/** Creates the service of a guard that has not received an attempt yet. */
export function createAttemptService(
  options: AttemptServiceOptions,
): AttemptService {
  const { directory, timer, lag, metrics, rules, ledger, link } = options;
  const { attemptLog, resumption, keepalives, admission, load } = options;
  const { crashes, watch, settings, slots } = options;
  /** Attempts that run, with the channels on which their senders wait. */
  const activeRuns = new Set<{ channel: Channel; deadlineAt: number }>();

  /** Creates the refusal of an attempt. The ledger must hold it as fenced. */
  function createRefusal(
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

  async function serveAttempt(channel: Channel, frame: Attempt): Promise<void> {
    const { attempt } = frame;
    options.onReportNeeded();
    if (frame.version > directory.version) {
      options.onNewerVersion(frame.version, frame.from);
    }
    const immediateRefusal = rules.findRefusal(frame);
    const ledgerResult = immediateRefusal
      ? ledger.fence(attempt)
      : ledger.start(attempt);
    if (ledgerResult === "fenced") {
      const refused = immediateRefusal ?? { reason: "fenced" };
      attemptLog.refused(frame, refused);
      await channel.send(createRefusal(attempt, refused));
      return;
    }
    if (ledgerResult !== "started") {
      // A duplicate: the first copy is answered on the channel that brought it.
      channel.close();
      return;
    }
    const tracked = resumption.track(attempt);
    try {
      await serveWithKeepalives(channel, { frame, onEnd: tracked.resolve });
    } finally {
      tracked.release();
    }
  }

  /**
   * Refuses an attempt that the ledger holds as started, but that did not run.
   */
  async function refuseStarted(
    channel: Channel,
    { frame, refused, onEnd }: {
      frame: Attempt;
      refused: Refusal;
      onEnd: (end: AttemptResult) => void;
    },
  ): Promise<void> {
    ledger.set(frame.attempt, "fenced");
    attemptLog.refused(frame, refused);
    const end = createRefusal(frame.attempt, refused);
    onEnd(end);
    if (!channel.closed) {
      await channel.send(end);
    }
  }

  async function serveWithKeepalives(
    channel: Channel,
    { frame, onEnd }: { frame: Attempt; onEnd: (end: AttemptResult) => void },
  ): Promise<void> {
    const channelClosed = createCanceller();
    const unsubscribe = channel.onClose(channelClosed.cancel);
    // Without keepalives, the sender takes a long wait for a lost connection.
    const stopKeepalives = keepalives.start(channel);
    function reportEnd(end: AttemptResult): void {
      stopKeepalives();
      onEnd(end);
    }
    try {
      await runWhenAdmitted(channel, {
        frame,
        channelClosed,
        onEnd: reportEnd,
      });
    } finally {
      stopKeepalives();
      unsubscribe();
    }
  }

  async function runWhenAdmitted(
    channel: Channel,
    { frame, channelClosed, onEnd }: {
      frame: Attempt;
      channelClosed: Cancellation;
      onEnd: (end: AttemptResult) => void;
    },
  ): Promise<void> {
    const exclusive = frame.suspect || crashes.suspicionOf(frame) === "suspect";
    const { attempt } = frame;
    const queuedAt = timer.now();
    const admitting = admission.admit(
      rules.createAdmissionRequest(frame, {
        exclusive,
        signal: channelClosed,
      }),
    );
    if (admission.queued > 0) {
      options.onReportNeeded();
    }
    const admissionResult = await admitting;
    const waitedMs = timer.now() - queuedAt;
    metrics.timing("queue_wait", frame.class, waitedMs);
    if (admissionResult.kind === "refused") {
      await refuseStarted(channel, { frame, refused: admissionResult, onEnd });
      return;
    }
    // While the event loop lags, the sender may have closed its channel without
    // this process having read it yet.
    if (lag.lagging) {
      await lag.waitForCloses();
    }
    // The reasons to refuse may have changed while the attempt was queued.
    const reasonAfterWait = channelClosed.cancelled
      ? "cancelled"
      : rules.findRefusalReason(frame);
    const { backend, announced } = link;
    const boot = announced?.boot;
    if (reasonAfterWait || !backend) {
      admissionResult.slot.release();
      const reason = reasonAfterWait ?? "no_backend_server";
      await refuseStarted(channel, { frame, refused: { reason }, onEnd });
      return;
    }
    const activeRun = { channel, deadlineAt: queuedAt + frame.timeLeftMs };
    activeRuns.add(activeRun);
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
      instance: announced?.instance ?? "",
      timer,
      channelClosed,
      load,
      shedMeansNotRun: settings()?.shed_means_not_run ?? false,
      onFailure: (error) => options.onFailure(frame, error),
      onCompletion: (completion) => {
        if (completion.ok) {
          runWatch.recordCompletion(completion.latencyMs, admission.inFlight);
        }
        options.onCompletion(frame, completion);
      },
      onAnswerMetadata(metadata, sentAt) {
        if (link.announced?.boot === boot) {
          options.onAnswerMetadata(metadata, sentAt);
        }
      },
    });
    const ending = run.ended.then((end) => {
      runWatch.recordEnd(end);
      activeRuns.delete(activeRun);
      attemptLog.ended(frame, end, waitedMs);
      admissionResult.slot.release();
      if (end.kind === "refused") {
        ledger.set(attempt, "fenced");
        onEnd(end);
        return;
      }
      ledger.set(attempt, end.kind === "answer" ? "finished" : "failed");
      resumption.store(end);
      if (exclusive && end.kind === "answer") {
        crashes.clearSuspicion(frame);
      }
      onEnd(end);
    });
    try {
      await run.delivered;
    } finally {
      await ending;
    }
  }

  /**
   * Serves an attempt that was read late. Its sender may have cancelled it
   * meanwhile by closing the channel, so this waits until the event loop has
   * read such a closing. Then it drops the attempt, or reduces its remaining
   * time by the time since it arrived.
   */
  async function serveAfterLag(
    channel: Channel,
    frame: Attempt,
  ): Promise<void> {
    const readAt = timer.now();
    const arrivedAt = estimateArrival(readAt, channel.maxUnreadMs ?? 0);
    await lag.waitForTurn(() => channel.closed);
    if (channel.closed) {
      metrics.count("left_unread");
      return;
    }
    const ageMs = timer.now() - arrivedAt;
    const { timeLeftMs, objectiveLeftMs } = frame;
    await serveAttempt(channel, {
      ...frame,
      timeLeftMs: Math.max(0, timeLeftMs - ageMs),
      objectiveLeftMs: objectiveLeftMs && objectiveLeftMs - ageMs,
    });
  }

  /** Whether a sender may still wait for the result of an attempt that runs. */
  function hasAwaitedRun(): boolean {
    const now = timer.now();
    return [...activeRuns].some(({ channel, deadlineAt }) =>
      !channel.closed || now < deadlineAt + ANSWER_GRACE_MS
    );
  }

  return {
    serve: (channel, frame) =>
      channel.closeMayBePending
        ? serveAfterLag(channel, frame)
        : serveAttempt(channel, frame),
    hasAwaitedRun,
  };
}
