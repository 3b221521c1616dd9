/**
 * The stream of an answer that is too long for one frame. It ends at the deadline
 * of its exchange at the latest: a server or a guard may fall silent in the middle
 * of an answer, or send it too slowly. Such an answer is cut, and never looks
 * complete. One of which everything has been received by then is still delivered.
 * @module
 */
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type { Frame } from "../network/frames.ts";
import type { Subscription, Timer } from "../time/timer.ts";
import type { FrameReader } from "./frame_reader.ts";
import type { Reachability } from "./reachability.ts";

/** A stream of an answer's body. */
export interface AnswerStream {
  /** The body; throws `StepError` if it is cut. */
  body: AsyncIterable<Uint8Array>;
  /** Closes a stream that is not needed, whether it is read or not. */
  close(): void;
  /** Cancelled when the rest of the body will not come. */
  cut: Cancellation;
}

/** Options of {@link createAnswerStream}. */
export interface AnswerStreamOptions {
  channel: Channel;
  reader: FrameReader;
  timer: Timer;
  reachability: Reachability;
  /** Bytes that the frame of the answer itself has brought. */
  first: Uint8Array;
  /** Monotonic time at which the wait for the answer ends. */
  deadlineAt: number;
  /** Cancelled when the caller leaves. */
  signal: Cancellation;
  /** Called after the whole answer, to give the channel back. */
  onComplete: () => void;
}

/**
 * Number of silences after which a stream counts as cut although its guard is
 * reachable.
 */
const MAX_STREAM_SILENCES = 3;
/** Time past the deadline in which an answer that has begun may still end. */
const LATE_END_MS = 100;
/** Delay of the deadline's timer that shows a stall of this process. */
const STALL_MS = 50;
/** Time after a stall in which what came meanwhile is read. */
const READ_AFTER_STALL_MS = 50;

/** Creates the stream of an answer, whose deadline applies from now on. */
export function createAnswerStream(options: AnswerStreamOptions): AnswerStream {
  const { channel, reader, timer, reachability, signal } = options;
  const cutAt = options.deadlineAt + LATE_END_MS;
  const cut = createCanceller();
  /** Frames that were received when the deadline passed. */
  const rest: Frame[] = [];
  let receiving = false;
  let ended = false;
  /** Settles once what was received by the deadline has been looked through. */
  let expired: Promise<void> | undefined;
  let timeout: Subscription = timer.after(
    Math.max(0, cutAt - timer.now()),
    expire,
  );

  /** Closes the channel; after the end, it may serve another exchange. */
  function close(): void {
    if (!ended) {
      channel.close();
    }
  }
  const release = signal.onCancel(close);

  function end(): void {
    ended = true;
    release();
    timeout.cancel();
  }

  /** Called at the deadline; after a stall, what has come is read first. */
  function expire(): void {
    const stalled = timer.now() - cutAt > STALL_MS;
    timeout = timer.after(stalled ? READ_AFTER_STALL_MS : 0, () => {
      expired = cutOff();
    });
  }

  /**
   * Ends the stream at its deadline. While its reader is slow, the frames that
   * have come are kept for it if they hold the end of the answer.
   */
  async function cutOff(): Promise<void> {
    channel.close();
    if (!receiving) {
      await receiveRest();
    }
    if (rest.at(-1)?.kind !== "end") {
      rest.length = 0;
      cut.cancel();
    }
  }

  async function receiveRest(): Promise<void> {
    try {
      while (rest.at(-1)?.kind !== "end") {
        const frame = await reader.next(Infinity);
        if (frame.kind === "silence") {
          return;
        }
        rest.push(frame);
      }
    } catch {
      // The channel is closed: there is no more.
    }
  }

  function createCutError(cause: string): StepError {
    return new StepError("exchange.stream", cause, { peer: channel.peer });
  }

  /** Receives the next frame, and tolerates a few silences. */
  async function receiveFrame(): Promise<Frame> {
    for (let silences = 0; silences < MAX_STREAM_SILENCES; silences++) {
      const frame = await reader.next(Infinity);
      if (frame.kind !== "silence") {
        return frame;
      }
      if (!await reachability.check(channel.peer)) {
        break;
      }
    }
    throw createCutError("the connection is silent");
  }

  async function nextFrame(): Promise<Frame> {
    if (expired) {
      await expired;
      const kept = rest.shift();
      if (!kept) {
        throw createCutError("the answer has no end at its deadline");
      }
      return kept;
    }
    receiving = true;
    try {
      return await receiveFrame();
    } finally {
      receiving = false;
    }
  }

  async function* read(): AsyncGenerator<Uint8Array> {
    let complete = false;
    try {
      yield options.first;
      while (true) {
        const frame = await nextFrame();
        if (frame.kind === "slow") {
          continue;
        }
        if (frame.kind === "end") {
          complete = true;
          return;
        }
        if (frame.kind !== "data") {
          throw createCutError(`got ${frame.kind}`);
        }
        yield frame.bytes;
      }
    } finally {
      end();
      if (complete) {
        options.onComplete();
      } else {
        channel.close();
      }
    }
  }

  return { body: read(), close, cut };
}
