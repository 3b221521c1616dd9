/**
 * Reads the end of an attempt from a channel, which may be a stream.
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
import type { Timer } from "../time/timer.ts";
import { createAnswerStream } from "./answer_stream.ts";
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
  /** Cancelled when the rest of a stream will not come. */
  cut?: Cancellation;
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

function isSameAttempt(left: AttemptId, right: AttemptId): boolean {
  return left.source === right.source && left.order === right.order;
}

/** Creates a reader that returns channels to a pool after their exchange. */
export function createEndReader(
  { pool, reachability, timer }: {
    pool: PeerPool;
    reachability: Reachability;
    timer: Timer;
  },
): EndReader {
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
    const stream = createAnswerStream({
      channel,
      reader: context.reader,
      timer,
      reachability,
      first: frame.body,
      deadlineAt: request.deadlineAt,
      signal: request.signal,
      onComplete: () => giveBack(context),
    });
    return { kind: "answer", answer: frame, ...stream };
  }

  return { read: readEnd };
}
