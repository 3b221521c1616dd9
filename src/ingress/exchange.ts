/**
 * One exchange with a guard: an attempt goes out, and its end comes back.
 *
 * A silent guard is not lost: it is asked, and the attempt goes on until that
 * shows that it is lost, or the deadline comes. The sender may end an attempt
 * by its signal; the guard then sees the channel close.
 * @module
 */
import { type Cancellation, neverCancelled } from "../core/cancellation.ts";
import { errorMessage } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type { Attempt, AttemptId, FenceState } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import {
  type Conversation,
  createEnds,
  type ExchangeEnd,
  type Work,
} from "./conversation.ts";
import { createInquiries, type SilenceFinding } from "./inquiry.ts";
import type { PeerPool } from "./peer_pool.ts";
import { createReachability } from "./reachability.ts";

/** One exchange. */
export interface Exchange {
  /** Peer address of the guard. */
  address: string;
  attempt: Attempt;
  /** Body to be streamed once the attempt is admitted. */
  stream?: AsyncIterable<Uint8Array>;
  /** The guard says that the attempt has begun on a slow server, or is silent. */
  onSlow?: () => void;
  /** Cancelled when nobody waits for the end any more. */
  signal: Cancellation;
  /** Monotonic time at which the wait ends. */
  deadlineAt: number;
}

/** Carries out exchanges with guards. */
export interface Exchanger {
  /** Sends an attempt and waits for its end. Never rejects. */
  run(exchange: Exchange): Promise<ExchangeEnd>;
  /** Fences an attempt over a new connection. */
  fence(target: FenceTarget): Promise<FenceState | "unreachable">;
  /** Takes the answer of an attempt up again. */
  resume(target: FenceTarget): Promise<ExchangeEnd>;
}

/** An attempt at a guard that was lost sight of. */
export interface FenceTarget {
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
  /** Longest silence of a guard in milliseconds. */
  silenceMs: () => number;
  /** A guard was silent, and this is what it turned out to be. */
  onSilence?: (finding: SilenceFinding) => void;
}

/** Creates an exchanger over a pool. */
export function createExchanger(options: ExchangerOptions): Exchanger {
  const { pool } = options;
  const reachability = createReachability(pool);
  const ends = createEnds({ pool, reachability });
  const inquiries = createInquiries({ ...options, reachability, ends });

  async function receiveEnd(talk: Conversation): Promise<ExchangeEnd> {
    const { channel, reader, work } = talk;
    while (true) {
      const next = await reader.next(work.deadlineAt);
      if (next.kind !== "silence") {
        const end = ends.of(next, talk);
        if (end) {
          return end;
        }
        continue;
      }
      const end = await inquiries.settle(talk, next);
      if (end) {
        channel.close();
        if (end.kind !== "fenced") {
          // Silent while a new connection brought the end: others may be dead.
          pool.retire(channel.peer);
        }
        return end;
      }
    }
  }

  /** Sends the request of an exchange, and closes its channel if it is lost. */
  async function onChannel(
    channel: Channel,
    { work, receive }: {
      work: Work;
      receive: (talk: Conversation) => Promise<ExchangeEnd>;
    },
  ): Promise<ExchangeEnd> {
    const { signal } = work;
    const release = signal.onCancel(channel.close);
    try {
      return await receive({
        channel,
        reader: inquiries.readerOf(channel),
        work,
      });
    } catch (error) {
      channel.close();
      if (!signal.cancelled) {
        pool.retire(channel.peer);
      }
      return { kind: "lost", sent: true, cause: errorMessage(error) };
    } finally {
      release();
    }
  }

  return {
    async run({ address, attempt, ...rest }) {
      let channel: Channel;
      try {
        channel = await pool.take(address);
      } catch (error) {
        return { kind: "lost", sent: false, cause: errorMessage(error) };
      }
      return await onChannel(channel, {
        work: {
          requestId: attempt.requestId,
          attempt: attempt.attempt,
          incarnation: attempt.incarnation,
          ...rest,
        },
        async receive(talk) {
          await channel.send(attempt);
          return await receiveEnd(talk);
        },
      });
    },
    async fence({ address, signal: _, ...target }) {
      let channel: Channel | undefined;
      try {
        channel = await pool.connect(address);
        const reader = inquiries.readerOf(channel);
        const work = { ...target, requestId: "", signal: neverCancelled };
        const state = await inquiries.askState({ channel, reader, work });
        pool.giveBack(channel);
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
      const work = { ...target, requestId: "" };
      return await onChannel(channel, { work, receive: inquiries.takeUp });
    },
  };
}
