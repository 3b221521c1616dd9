/**
 * One exchange with a guard: an attempt goes out, and its end comes back.
 * @module
 */
import type { Cancellation } from "../core/cancellation.ts";
import { errorMessage, StepError } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type {
  Answer,
  Attempt,
  AttemptId,
  Failed,
  FenceState,
  Frame,
  Refused,
} from "../network/frames.ts";
import { type Timer, withTimeout } from "../time/timer.ts";
import type { PeerPool } from "./peer_pool.ts";

/** An answer whose body goes on as a stream, or is whole. */
export interface ReceivedAnswer {
  kind: "answer";
  answer: Answer;
  /** Throws `StepError` when the stream is cut. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
  /** Gives a stream up, also one that nobody has begun to read. */
  close?: () => void;
}

/** The connection was lost before the end came. */
export interface Lost {
  kind: "lost";
  /** Whether the attempt was sent at all. */
  sent: boolean;
  cause: string;
}

/** How an exchange ended. */
export type ExchangeEnd = ReceivedAnswer | Refused | Failed | Lost;

/** One exchange. */
export interface Exchange {
  /** Peer address of the guard. */
  address: string;
  attempt: Attempt;
  /** Body to be streamed once the attempt is admitted. */
  stream?: AsyncIterable<Uint8Array>;
  /** The guard says that the attempt has begun on a slow server. */
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
}

/** What one exchange sends, and whose end it waits for. */
interface Work {
  request: Frame;
  attempt: AttemptId;
  deadlineAt: number;
  signal: Cancellation;
  stream?: AsyncIterable<Uint8Array>;
  onSlow?: () => void;
}

function sameAttempt(one: AttemptId, other: AttemptId): boolean {
  return one.source === other.source && one.order === other.order;
}

/** Creates an exchanger over a pool. */
export function createExchanger(options: ExchangerOptions): Exchanger {
  const { pool, timer, silenceMs } = options;

  /** Receives a frame, or throws when the peer is silent or gone. */
  async function next(channel: Channel, deadlineAt: number): Promise<Frame> {
    const left = Math.max(0, deadlineAt - timer.now());
    const frame = await withTimeout(timer, channel.receive(), {
      step: "exchange.receive",
      peer: channel.peer,
      timeoutMs: Math.min(left, silenceMs()),
    });
    if (!frame) {
      throw new StepError("exchange.receive", "connection closed", {
        peer: channel.peer,
      });
    }
    return frame;
  }

  /** Receives the next frame that is more than a sign of life. */
  async function nextContent(
    channel: Channel,
    deadlineAt: number,
  ): Promise<Frame> {
    while (true) {
      const frame = await next(channel, deadlineAt);
      if (frame.kind !== "pong") {
        return frame;
      }
    }
  }

  async function* streamFrom(
    channel: Channel,
    { first, onEnd }: { first: Uint8Array; onEnd: () => void },
  ): AsyncGenerator<Uint8Array> {
    let whole = false;
    try {
      yield first;
      while (true) {
        // A long body may take its time; only silence ends it.
        const frame = await nextContent(channel, Infinity);
        if (frame.kind === "slow") {
          continue;
        }
        if (frame.kind === "end") {
          whole = true;
          return;
        }
        if (frame.kind !== "data") {
          throw new StepError("exchange.stream", `got ${frame.kind}`, {
            peer: channel.peer,
          });
        }
        yield frame.bytes;
      }
    } finally {
      onEnd();
      if (whole) {
        pool.giveBack(channel);
      } else {
        channel.close();
      }
    }
  }

  /** Its caller may leave while nothing comes, or before it is read. */
  function streamOf(
    channel: Channel,
    { first, signal }: { first: Uint8Array; signal: Cancellation },
  ): Required<Pick<ReceivedAnswer, "body" | "close">> {
    let ended = false;
    function close(): void {
      // After its end, the channel is others'.
      if (!ended) {
        channel.close();
      }
    }
    const release = signal.onCancel(close);
    const body = streamFrom(channel, {
      first,
      onEnd() {
        ended = true;
        release();
      },
    });
    return { body, close };
  }

  async function sendStream(
    channel: Channel,
    stream: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    try {
      for await (const bytes of stream) {
        await channel.send({ kind: "data", bytes });
      }
      await channel.send({ kind: "end" });
    } catch {
      // A cut request body must not look like a whole one.
      channel.close();
    }
  }

  async function receiveEnd(
    channel: Channel,
    exchange: Omit<Work, "request">,
  ): Promise<ExchangeEnd> {
    const { attempt, deadlineAt, signal } = exchange;
    while (true) {
      const frame = await nextContent(channel, deadlineAt);
      if (frame.kind === "slow") {
        exchange.onSlow?.();
        continue;
      }
      if (frame.kind === "admitted" && exchange.stream) {
        void sendStream(channel, exchange.stream);
        continue;
      }
      const isEnd = frame.kind === "answer" || frame.kind === "refused" ||
        frame.kind === "failed";
      if (!isEnd || !sameAttempt(frame.attempt, attempt)) {
        throw new StepError("exchange.receive", `unexpected ${frame.kind}`, {
          peer: channel.peer,
        });
      }
      if (frame.kind !== "answer") {
        pool.giveBack(channel);
        return frame;
      }
      if (!frame.streaming) {
        pool.giveBack(channel);
        return { kind: "answer", answer: frame, body: frame.body };
      }
      const stream = streamOf(channel, { first: frame.body, signal });
      return { kind: "answer", answer: frame, ...stream };
    }
  }

  /** Runs an exchange on a channel and closes it unless it ended whole. */
  async function onChannel(
    channel: Channel,
    work: Work,
  ): Promise<ExchangeEnd> {
    const { signal } = work;
    const release = signal.onCancel(channel.close);
    try {
      await channel.send(work.request);
      return await receiveEnd(channel, work);
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

  /** Runs an exchange on a channel to a guard. */
  async function to(address: string, work: Work): Promise<ExchangeEnd> {
    let channel: Channel;
    try {
      channel = await pool.take(address);
    } catch (error) {
      return { kind: "lost", sent: false, cause: errorMessage(error) };
    }
    return await onChannel(channel, work);
  }

  return {
    run: ({ address, attempt, ...rest }) =>
      to(address, { request: attempt, attempt: attempt.attempt, ...rest }),
    async fence({ address, attempt, incarnation, deadlineAt }) {
      let channel: Channel | undefined;
      try {
        channel = await pool.connect(address);
        await channel.send({ kind: "fence", attempt, incarnation });
        const frame = await nextContent(channel, deadlineAt);
        pool.giveBack(channel);
        return frame.kind === "fence_state" ? frame.state : "unreachable";
      } catch {
        channel?.close();
        return "unreachable";
      }
    },
    resume: ({ address, attempt, incarnation, ...rest }) =>
      to(address, {
        request: { kind: "resume", attempt, incarnation },
        attempt,
        ...rest,
      }),
  };
}
