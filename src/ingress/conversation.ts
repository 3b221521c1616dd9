/**
 * What one exchange says on its channel, and how an attempt's end is read.
 * @module
 */
import type { Cancellation } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type {
  Answer,
  AttemptId,
  Failed,
  Frame,
  Refused,
} from "../network/frames.ts";
import type { FrameReader } from "./frame_reader.ts";
import type { PeerPool } from "./peer_pool.ts";
import type { Reachability } from "./reachability.ts";

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

/** The guard was silent, and will never start the attempt. */
export interface Fenced {
  kind: "fenced";
}

/** How an exchange ended. */
export type ExchangeEnd = ReceivedAnswer | Refused | Failed | Lost | Fenced;

/** What one exchange is about. */
export interface Work {
  /** Empty where only the end of an attempt is asked for. */
  requestId: string;
  attempt: AttemptId;
  /** Incarnation of the guard that is meant. */
  incarnation: string;
  /** Monotonic time at which the wait ends. */
  deadlineAt: number;
  /** Cancelled when nobody waits for the end any more. */
  signal: Cancellation;
  /** Body to be streamed once the attempt is admitted. */
  stream?: AsyncIterable<Uint8Array>;
  /** The attempt has begun on a slow server, or its guard is silent. */
  onSlow?: () => void;
}

/** One exchange on its channel. */
export interface Conversation {
  channel: Channel;
  reader: FrameReader;
  work: Work;
}

/** Reads the ends of attempts from frames. */
export interface Ends {
  /**
   * Returns the end that a frame brings, or nothing if the attempt goes on.
   * Throws `StepError` on a frame that belongs elsewhere.
   */
  of(frame: Frame, talk: Conversation): ExchangeEnd | undefined;
}

/** Silences of a reachable guard after which a stream counts as cut. */
const MAX_STREAM_SILENCES = 3;

function sameAttempt(one: AttemptId, other: AttemptId): boolean {
  return one.source === other.source && one.order === other.order;
}

/** Creates a reader of ends that gives channels back to a pool. */
export function createEnds(
  { pool, reachability }: { pool: PeerPool; reachability: Reachability },
): Ends {
  /** Receives the next part of a stream that may take its time. */
  async function nextOfStream(
    channel: Channel,
    reader: FrameReader,
  ): Promise<Frame> {
    for (let silences = 0; silences < MAX_STREAM_SILENCES; silences++) {
      const frame = await reader.next(Infinity);
      if (frame.kind !== "silence") {
        return frame;
      }
      if (!await reachability.check(channel.peer)) {
        break;
      }
    }
    throw new StepError("exchange.stream", "the connection is silent", {
      peer: channel.peer,
    });
  }

  async function* streamFrom(
    channel: Channel,
    { first, reader, onEnd }: {
      first: Uint8Array;
      reader: FrameReader;
      onEnd: () => void;
    },
  ): AsyncGenerator<Uint8Array> {
    let whole = false;
    try {
      yield first;
      while (true) {
        const frame = await nextOfStream(channel, reader);
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
    { channel, reader, work }: Conversation,
    first: Uint8Array,
  ): Required<Pick<ReceivedAnswer, "body" | "close">> {
    let ended = false;
    function close(): void {
      // After its end, the channel is others'.
      if (!ended) {
        channel.close();
      }
    }
    const release = work.signal.onCancel(close);
    const body = streamFrom(channel, {
      first,
      reader,
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

  function endOf(frame: Frame, talk: Conversation): ExchangeEnd | undefined {
    const { channel, work } = talk;
    if (frame.kind === "slow") {
      work.onSlow?.();
      return undefined;
    }
    if (frame.kind === "admitted" && work.stream) {
      void sendStream(channel, work.stream);
      return undefined;
    }
    const isEnd = frame.kind === "answer" || frame.kind === "refused" ||
      frame.kind === "failed";
    if (!isEnd || !sameAttempt(frame.attempt, work.attempt)) {
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
    const stream = streamOf(talk, frame.body);
    return { kind: "answer", answer: frame, ...stream };
  }

  return { of: endOf };
}
