/**
 * Reads the end of an attempt, and the stream of its answer, from a channel.
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
import { type BodyUpload, startUpload } from "./body_upload.ts";
import type { FrameReader } from "./frame_reader.ts";
import type { PeerPool } from "./peer_pool.ts";
import type { Reachability } from "./reachability.ts";

/** An answer whose body is complete or follows as a stream. */
export interface ReceivedAnswer {
  kind: "answer";
  answer: Answer;
  /** The body; its stream throws `StepError` if it is cut. */
  body: Uint8Array | AsyncIterable<Uint8Array>;
  /** Closes the stream of an answer that is not needed, whether read or not. */
  close?: () => void;
}

/** End of an exchange that did not receive the end of its attempt. */
export interface Lost {
  kind: "lost";
  /** Whether the attempt may have been sent. */
  sent: boolean;
  cause: string;
}

/** End of an attempt that a silent guard will never start. */
export interface Fenced {
  kind: "fenced";
}

/** How an exchange ended. */
export type ExchangeEnd = ReceivedAnswer | Refused | Failed | Lost | Fenced;

/** The attempt of an exchange, and how its end is awaited. */
export interface ExchangeRequest {
  /** Request id; empty if an attempt is only fenced or resumed. */
  requestId: string;
  attempt: AttemptId;
  /** Incarnation of the guard to which the attempt is addressed. */
  incarnation: string;
  /** Monotonic time at which the wait ends. */
  deadlineAt: number;
  /** Cancelled when the end is no longer needed. */
  signal: Cancellation;
  /** Body that is streamed after the guard admits the attempt. */
  stream?: AsyncIterable<Uint8Array>;
  /** Called when the attempt runs on a slow server, or its guard is silent. */
  onSlow?: () => void;
}

/** An exchange and the channel that it uses. */
export interface ExchangeContext {
  channel: Channel;
  reader: FrameReader;
  request: ExchangeRequest;
  /** Body that is sent on this channel, once the guard has admitted it. */
  upload?: BodyUpload;
}

/** Interprets the frames that a guard sends about an attempt. */
export interface EndReader {
  /**
   * Returns the end that a frame reports, or undefined if the attempt goes on.
   * Throws `StepError` if the frame is unexpected or of another attempt.
   */
  read(frame: Frame, context: ExchangeContext): ExchangeEnd | undefined;
}

/**
 * Number of silences after which a stream counts as cut although its guard is
 * reachable.
 */
const MAX_STREAM_SILENCES = 3;

function isSameAttempt(left: AttemptId, right: AttemptId): boolean {
  return left.source === right.source && left.order === right.order;
}

/** Creates a reader that returns channels to a pool after their exchange. */
export function createEndReader(
  { pool, reachability }: { pool: PeerPool; reachability: Reachability },
): EndReader {
  /** Receives the next frame of a stream, and tolerates a few silences. */
  async function receiveStreamFrame(
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

  /**
   * Gives the channel of an exchange back after the end of its attempt. With a
   * part of the request's body still to be sent, it is closed: the next exchange
   * would have that part in its own body.
   */
  function giveBack({ channel, upload }: ExchangeContext): void {
    if (upload && !upload.complete) {
      channel.close();
    } else {
      pool.release(channel);
    }
  }

  async function* readStream(
    context: ExchangeContext,
    { first, onEnd }: { first: Uint8Array; onEnd: () => void },
  ): AsyncGenerator<Uint8Array> {
    const { channel, reader } = context;
    let complete = false;
    try {
      yield first;
      while (true) {
        const frame = await receiveStreamFrame(channel, reader);
        if (frame.kind === "slow") {
          continue;
        }
        if (frame.kind === "end") {
          complete = true;
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
      if (complete) {
        giveBack(context);
      } else {
        channel.close();
      }
    }
  }

  /**
   * Returns the stream of an answer. Its channel is closed when the caller
   * leaves, also while no data comes or before the stream is read.
   */
  function openStream(
    context: ExchangeContext,
    first: Uint8Array,
  ): Required<Pick<ReceivedAnswer, "body" | "close">> {
    const { channel, request } = context;
    let ended = false;
    function close(): void {
      // After the end of the stream, the channel may serve another exchange.
      if (!ended) {
        channel.close();
      }
    }
    const release = request.signal.onCancel(close);
    const body = readStream(context, {
      first,
      onEnd() {
        ended = true;
        release();
      },
    });
    return { body, close };
  }

  function readEnd(
    frame: Frame,
    context: ExchangeContext,
  ): ExchangeEnd | undefined {
    const { channel, request } = context;
    if (frame.kind === "slow") {
      request.onSlow?.();
      return undefined;
    }
    if (frame.kind === "admitted" && request.stream) {
      context.upload = startUpload(channel, request.stream);
      return undefined;
    }
    const isEnd = frame.kind === "answer" || frame.kind === "refused" ||
      frame.kind === "failed";
    if (!isEnd || !isSameAttempt(frame.attempt, request.attempt)) {
      throw new StepError("exchange.receive", `unexpected ${frame.kind}`, {
        peer: channel.peer,
      });
    }
    if (frame.kind !== "answer") {
      giveBack(context);
      return frame;
    }
    if (!frame.streaming) {
      giveBack(context);
      return { kind: "answer", answer: frame, body: frame.body };
    }
    const stream = openStream(context, frame.body);
    return { kind: "answer", answer: frame, ...stream };
  }

  return { read: readEnd };
}
