/**
 * Exchanges with guards: sends an attempt, and receives its end.
 *
 * A silent guard does not end an exchange. The guard is asked about the attempt
 * over a new connection, and the exchange goes on until this shows that the
 * attempt is lost or until the deadline. When the sender cancels the signal of
 * an exchange, its channel is closed, which the guard notices.
 * @module
 */
import { type Cancellation, neverCancelled } from "../core/cancellation.ts";
import { errorMessage } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type { Attempt, AttemptId, FenceState } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import {
  createEndReader,
  type ExchangeContext,
  type ExchangeEnd,
  type ExchangeRequest,
} from "./exchange_end.ts";
import {
  createAttemptRecovery,
  type SilenceFinding,
} from "./attempt_recovery.ts";
import type { PeerPool } from "./peer_pool.ts";
import { createReachability } from "./reachability.ts";

/** An attempt to be sent to a guard. */
export interface Exchange {
  /** Peer address of the guard. */
  address: string;
  attempt: Attempt;
  /** Body that is streamed after the guard admits the attempt. */
  stream?: AsyncIterable<Uint8Array>;
  /** Called when the attempt runs on a slow server, or its guard is silent. */
  onSlow?: () => void;
  /** Cancelled when the end is no longer needed. */
  signal: Cancellation;
  /** Monotonic time at which the wait ends. */
  deadlineAt: number;
}

/** Exchanges frames with guards. */
export interface Exchanger {
  /** Sends an attempt, and resolves with its end. Never rejects. */
  run(exchange: Exchange): Promise<ExchangeEnd>;
  /** Fences an attempt over a new connection, and resolves with its state. */
  fence(target: AttemptTarget): Promise<FenceState | "unreachable">;
  /** Requests the end of an attempt that was sent earlier. Never rejects. */
  resume(target: AttemptTarget): Promise<ExchangeEnd>;
}

/** An attempt that was sent earlier and whose end is unknown. */
export interface AttemptTarget {
  address: string;
  attempt: AttemptId;
  incarnation: string;
  deadlineAt: number;
  signal: Cancellation;
}

/** Options of {@link createExchanger}. */
export interface ExchangerOptions {
  pool: PeerPool;
  timer: Timer;
  /** Returns the time without a frame after which a guard counts as silent. */
  silenceMs: () => number;
  /** Called when a silence of a guard has been resolved. */
  onSilence?: (finding: SilenceFinding) => void;
}

/** Creates an exchanger that uses the channels of a pool. */
export function createExchanger(options: ExchangerOptions): Exchanger {
  const { pool } = options;
  const reachability = createReachability(pool);
  const endReader = createEndReader({
    pool,
    reachability,
    timer: options.timer,
  });
  const recovery = createAttemptRecovery({
    ...options,
    reachability,
    endReader,
  });

  async function receiveEnd(context: ExchangeContext): Promise<ExchangeEnd> {
    const { channel, reader, request } = context;
    while (true) {
      const received = await reader.next(request.deadlineAt);
      if (received.kind !== "silence") {
        const end = endReader.read(received, context);
        if (end) {
          return end;
        }
        continue;
      }
      const end = await recovery.resolveSilence(context, received);
      if (end) {
        channel.close();
        if (end.kind !== "fenced") {
          // The old connection is dead, so idle ones to this peer may be dead
          // too.
          pool.closeIdle(channel.peer);
        }
        return end;
      }
    }
  }

  /** Runs an exchange on a channel, and closes the channel if it fails. */
  async function runOnChannel(
    channel: Channel,
    { request, receive }: {
      request: ExchangeRequest;
      receive: (context: ExchangeContext) => Promise<ExchangeEnd>;
    },
  ): Promise<ExchangeEnd> {
    const { signal } = request;
    const release = signal.onCancel(channel.close);
    try {
      return await receive({
        channel,
        reader: recovery.createReader(channel),
        request,
      });
    } catch (error) {
      channel.close();
      if (!signal.cancelled) {
        pool.closeIdle(channel.peer);
      }
      return { kind: "lost", sent: true, cause: errorMessage(error) };
    } finally {
      release();
    }
  }

  return {
    async run({ address, attempt, ...waitOptions }) {
      let channel: Channel;
      try {
        channel = await pool.take(address);
      } catch (error) {
        return { kind: "lost", sent: false, cause: errorMessage(error) };
      }
      return await runOnChannel(channel, {
        request: {
          requestId: attempt.requestId,
          attempt: attempt.attempt,
          incarnation: attempt.incarnation,
          ...waitOptions,
        },
        async receive(context) {
          await channel.send(attempt);
          return await receiveEnd(context);
        },
      });
    },
    async fence({ address, signal: _, ...target }) {
      let channel: Channel | undefined;
      try {
        channel = await pool.connect(address);
        const reader = recovery.createReader(channel);
        const request = { ...target, requestId: "", signal: neverCancelled };
        const state = await recovery.fence({ channel, reader, request });
        pool.release(channel);
        return state;
      } catch {
        channel?.close();
        return "unreachable";
      }
    },
    async resume({ address, ...target }) {
      let channel: Channel;
      try {
        channel = await pool.take(address);
      } catch (error) {
        return { kind: "lost", sent: false, cause: errorMessage(error) };
      }
      const request = { ...target, requestId: "" };
      return await runOnChannel(channel, { request, receive: recovery.resume });
    },
  };
}
