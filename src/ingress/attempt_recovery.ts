/**
 * Handles a guard that sends nothing while it has an attempt. The guard may
 * have failed, its process may have stalled, or only the connection to it may
 * be dead. The state of the attempt is requested over a new connection, while the
 * old connection is still read.
 * @module
 */
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type { FenceState, Frame } from "../network/frames.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type {
  EndReader,
  ExchangeContext,
  ExchangeEnd,
} from "./exchange_end.ts";
import {
  createFrameReader,
  type FrameReader,
  type Silence,
} from "./frame_reader.ts";
import type { PeerPool } from "./peer_pool.ts";
import type { Reachability } from "./reachability.ts";

/**
 * Results of handling a silent guard. `heard`: the guard sent something on the
 * old connection; `waited`: the limit of recoveries at the guard was reached,
 * or the deadline passed; `fenced`: the guard will never start the attempt;
 * `resumed`: the end of the attempt came over the new connection; `lost`:
 * nothing more can be learned about the attempt.
 */
export const SILENCE_FINDINGS = [
  "heard",
  "waited",
  "fenced",
  "resumed",
  "lost",
] as const;

/** Report of how a silence of a guard was resolved. */
export interface SilenceFinding extends Omit<Silence, "kind"> {
  /** Id of the request to which the attempt belongs. */
  requestId: string;
  peer: string;
  finding: (typeof SILENCE_FINDINGS)[number];
}

/** Options of {@link createAttemptRecovery}. */
export interface AttemptRecoveryOptions {
  pool: PeerPool;
  reachability: Reachability;
  endReader: EndReader;
  timer: Timer;
  /** Returns the time without a frame after which a guard counts as silent. */
  silenceMs: () => number;
  /** Called when a silence of a guard has been resolved. */
  onSilence?: (finding: SilenceFinding) => void;
}

/** Determines the state and the end of attempts whose guard went silent. */
export interface AttemptRecovery {
  /**
   * Resolves with the end of an attempt at a silent guard, or with undefined if
   * the caller should go on waiting or the deadline has passed. Rejects with
   * `StepError` if the attempt is lost.
   */
  resolveSilence(
    context: ExchangeContext,
    silence: Silence,
  ): Promise<ExchangeEnd | undefined>;
  /**
   * Fences an attempt that has not started, and resolves with its state.
   * Rejects with `StepError` if the guard does not state it.
   */
  fence(context: ExchangeContext): Promise<FenceState>;
  /** Requests the end of an attempt that the guard knows, and awaits it. */
  resume(context: ExchangeContext): Promise<ExchangeEnd>;
  /** Creates a reader of the frames of a channel. */
  createReader(channel: Channel): FrameReader;
}

/** Limit on attempts at one silent guard that are recovered at once. */
const MAX_RECOVERIES_PER_PEER = 8;
/** States in which the end of an attempt can be requested. */
const RESUMABLE_STATES = new Set<string>(["running", "finished", "failed"]);

function silenceError(peer: string, finding: string): StepError {
  return new StepError("exchange.receive", `silent, and ${finding}`, { peer });
}

/** Creates the handling of silent guards. */
export function createAttemptRecovery(
  options: AttemptRecoveryOptions,
): AttemptRecovery {
  const { pool, reachability, endReader, timer, silenceMs } = options;
  const recoveryCounts = new Map<string, number>();

  function createReader(channel: Channel): FrameReader {
    return createFrameReader(channel, options);
  }

  /**
   * Receives a frame, and goes on waiting for it while the peer is reachable.
   */
  async function nextWhileReachable(
    reader: FrameReader,
    { peer, deadlineAt }: { peer: string; deadlineAt: number },
  ): Promise<Frame> {
    while (true) {
      const frame = await reader.next(deadlineAt);
      if (frame.kind !== "silence") {
        return frame;
      }
      if (!await reachability.check(peer)) {
        throw silenceError(peer, "unreachable");
      }
    }
  }

  async function resume(context: ExchangeContext): Promise<ExchangeEnd> {
    const { channel, reader, request } = context;
    const { attempt, incarnation, deadlineAt } = request;
    await channel.send({ kind: "resume", attempt, incarnation });
    while (true) {
      const frame = await nextWhileReachable(reader, {
        peer: channel.peer,
        deadlineAt,
      });
      const end = endReader.read(frame, context);
      if (end) {
        return end;
      }
    }
  }

  async function fence(
    { channel, reader, request }: ExchangeContext,
  ): Promise<FenceState> {
    const { attempt, incarnation, deadlineAt } = request;
    await channel.send({ kind: "fence", attempt, incarnation });
    const frame = await nextWhileReachable(reader, {
      peer: channel.peer,
      deadlineAt,
    });
    if (frame.kind !== "fence_state") {
      throw new StepError("exchange.fence", `unexpected ${frame.kind}`, {
        peer: channel.peer,
      });
    }
    return frame.state;
  }

  /**
   * Requests the state of an attempt over a new connection. The guard fences an
   * attempt that it does not know; the end of a known one is received on the
   * new connection. Cancelling `abandoned` ends the recovery.
   */
  async function recover(
    { channel: { peer }, request }: ExchangeContext,
    abandoned: Cancellation,
  ): Promise<ExchangeEnd> {
    const channel = await pool.connect(peer);
    const releases = [
      abandoned.onCancel(channel.close),
      request.signal.onCancel(channel.close),
    ];
    const context = { channel, reader: createReader(channel), request };
    try {
      const state = await fence(context);
      if (state === "fenced") {
        pool.release(channel);
        return { kind: "fenced" };
      }
      if (!RESUMABLE_STATES.has(state)) {
        throw silenceError(peer, state);
      }
      return await resume(context);
    } catch (error) {
      channel.close();
      throw error;
    } finally {
      releases.forEach((release) => release());
    }
  }

  /** Recovers an attempt unless the limit of recoveries is reached. */
  async function recoverIfAllowed(
    context: ExchangeContext,
    abandoned: Cancellation,
  ): Promise<ExchangeEnd | "waited"> {
    const { peer } = context.channel;
    if (!await reachability.check(peer)) {
      throw silenceError(peer, "unreachable");
    }
    const recoveryCount = recoveryCounts.get(peer) ?? 0;
    if (recoveryCount >= MAX_RECOVERIES_PER_PEER) {
      await sleep(timer, silenceMs());
      return "waited";
    }
    recoveryCounts.set(peer, recoveryCount + 1);
    try {
      return await recover(context, abandoned);
    } finally {
      const remaining = recoveryCounts.get(peer)! - 1;
      if (remaining > 0) {
        recoveryCounts.set(peer, remaining);
      } else {
        recoveryCounts.delete(peer);
      }
    }
  }

  function reportSilence(
    { channel: { peer }, request: { requestId } }: ExchangeContext,
    { silence, finding }: {
      silence: Silence;
      finding: SilenceFinding["finding"];
    },
  ): void {
    const { silentMs, lateMs } = silence;
    options.onSilence?.({ requestId, peer, finding, silentMs, lateMs });
  }

  function findingOf(
    outcome: ExchangeEnd | "waited" | void,
  ): SilenceFinding["finding"] {
    if (outcome === "waited") {
      return outcome;
    }
    if (!outcome) {
      return "heard";
    }
    return outcome.kind === "fenced" ? "fenced" : "resumed";
  }

  async function resolveSilence(
    context: ExchangeContext,
    silence: Silence,
  ): Promise<ExchangeEnd | undefined> {
    const { reader, request } = context;
    const abandoned = createCanceller();
    const deadline = new AbortController();
    request.onSlow?.();
    const recovery = recoverIfAllowed(context, abandoned);
    // After the guard sends on the old connection, nothing awaits this promise.
    recovery.catch(() => {});
    try {
      const outcome = await Promise.race([
        recovery,
        reader.waitForActivity(),
        waitUntil(request.deadlineAt, deadline.signal),
      ]);
      reportSilence(context, { silence, finding: findingOf(outcome) });
      return outcome === "waited" ? undefined : outcome ?? undefined;
    } catch (error) {
      reportSilence(context, { silence, finding: "lost" });
      throw error;
    } finally {
      abandoned.cancel();
      deadline.abort();
    }
  }

  async function waitUntil(at: number, signal: AbortSignal): Promise<"waited"> {
    await sleep(timer, Math.max(0, at - timer.now()), { signal });
    return "waited";
  }

  return { resolveSilence, fence, resume, createReader };
}
