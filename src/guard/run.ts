/**
 * Runs one admitted attempt at the backend server and sends its result.
 * @module
 */
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { errorMessage, StepError } from "../core/errors.ts";
import { headerValue, removeHopByHopHeaders } from "../core/headers.ts";
import type { Channel } from "../network/channel.ts";
import type {
  Answer,
  Attempt,
  Failed,
  Load,
  Refused,
} from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import { discardBody, readPrefix } from "./answer_body.ts";
import {
  type AnswerMetadata,
  type Backend,
  type BackendAnswer,
  BackendError,
} from "./backend.ts";
import type { Completion } from "./warmup.ts";

/**
 * Largest answer that is sent as one frame and cached, in bytes. Longer answers
 * are streamed.
 */
export const MAX_WHOLE_ANSWER_BYTES = 64 * 1024;
/**
 * Time past its deadline for which an attempt that must not be repeated may
 * run.
 */
const UNREPEATABLE_GRACE_MS = 10_000;
/**
 * Time past its deadline for which any other attempt may run, so that the
 * backend server can enforce the deadline itself and answer.
 */
const REPEATABLE_GRACE_MS = 25;
/**
 * Time past its deadline for which the rest of a streamed answer may take, so
 * that its sender ends the wait first.
 */
const STREAM_GRACE_MS = 200;
/**
 * Longest wait for the body of a refusal; the refusal is sent on only after it.
 */
const REFUSAL_BODY_TIMEOUT_MS = 50;
const SHED_STATUS = 503;
const FIRST_SERVER_ERROR = 500;

/** The result of an attempt. */
export type AttemptResult = Answer | Failed | Refused;

/** An attempt that runs. */
export interface Run {
  /** Resolves with the result at the backend server. Never rejects. */
  ended: Promise<AttemptResult>;
  /**
   * Settles once the result was sent; rejects if the channel was lost before.
   */
  delivered: Promise<void>;
}

/** Options of {@link runAttempt}. */
export interface RunOptions {
  channel: Channel;
  frame: Attempt;
  backend: Backend;
  /** Instance of the backend server that is expected to run the attempt. */
  instance: string;
  timer: Timer;
  /** Cancelled when the channel closes. */
  channelClosed: Cancellation;
  load: () => Load;
  shedMeansNotRun: boolean;
  onFailure: (error: BackendError) => void;
  onCompletion: (completion: Omit<Completion, "class">) => void;
  /**
   * Called with the metadata of an answer's head, if the head has any, and the
   * monotonic time at which the request was sent.
   */
  onAnswerMetadata: (metadata: AnswerMetadata, sentAt: number) => void;
}

/**
 * Reads a request body from the channel, as fast as the backend server takes
 * it.
 */
async function* readRequestBody(channel: Channel): AsyncGenerator<Uint8Array> {
  while (true) {
    const frame = await channel.receive();
    if (frame?.kind === "data") {
      yield frame.bytes;
    } else if (frame?.kind === "end") {
      return;
    } else {
      channel.close();
      throw new BackendError("aborted", {
        peer: channel.peer,
        message: "the request body was cut",
      });
    }
  }
}

/**
 * Converts an error of a run. A lost channel becomes `aborted`, since it shows
 * nothing about the backend server.
 */
function toBackendError(error: unknown, peer: string): BackendError {
  if (error instanceof BackendError) {
    return error;
  }
  const isChannelError = error instanceof StepError &&
    error.step.startsWith("channel.");
  return new BackendError(isChannelError ? "aborted" : "reset", {
    peer,
    message: errorMessage(error),
    cause: error,
  });
}

/** Starts an attempt that admission has admitted. */
export function runAttempt(options: RunOptions): Run {
  const { channel, frame, backend, timer, channelClosed, load } = options;
  const { attempt } = frame;
  const startedAt = timer.now();
  let headSent = false;
  const canceller = createCanceller();
  // An attempt that must not be repeated may end after its deadline, so that
  // its answer is cached and a retry gets it instead of running it again.
  const maxRunMs = frame.timeLeftMs +
    (frame.repeatable ? REPEATABLE_GRACE_MS : UNREPEATABLE_GRACE_MS);
  let expired = false;
  let expiryTimer = timer.after(maxRunMs, expire);
  let unsubscribeClose = (): void => {};
  if (frame.repeatable) {
    unsubscribeClose = channelClosed.onCancel(canceller.cancel);
  }

  function expire(): void {
    expired = true;
    canceller.cancel();
    if (headSent) {
      // A sender that no longer reads would block the stream for ever.
      channel.close();
    }
  }

  /** Returns the time until the deadline, in milliseconds. */
  function timeLeftMs(): number {
    return Math.max(0, frame.timeLeftMs - (timer.now() - startedAt));
  }

  function createFailure(error: BackendError): Failed {
    const outcome = error.failure === "connect" ? "not_run" : "unknown";
    return {
      kind: "failed",
      attempt,
      outcome,
      cause: `${error.failure}: ${error.message}`,
      crashed: error.failure === "reset",
      reached: error.failure !== "connect",
      load: load(),
    };
  }

  function reportCompletion(ok: boolean): void {
    const endedAt = timer.now();
    options.onCompletion({ latencyMs: endedAt - startedAt, ok, endedAt });
  }

  function findShedRefusal(answer: BackendAnswer): Refused | undefined {
    const shedBySetting = answer.status === SHED_STATUS &&
      options.shedMeansNotRun;
    if (!shedBySetting && !answer.metadata?.notRun) {
      return undefined;
    }
    const seconds = Number(headerValue(answer.headers, "retry-after") ?? 1);
    return {
      kind: "refused",
      attempt,
      reason: "shed",
      retryAfterMs: Number.isFinite(seconds) ? seconds * 1_000 : 1_000,
      load: load(),
    };
  }

  function createAnswer(
    answer: BackendAnswer,
    content: { body: Uint8Array; streaming: boolean },
  ): Answer {
    return {
      kind: "answer",
      attempt,
      status: answer.status,
      headers: removeHopByHopHeaders(answer.headers),
      ...content,
      load: load(),
    };
  }

  async function sendRequest(): Promise<BackendAnswer> {
    const left = timeLeftMs();
    if (frame.streaming) {
      await channel.send({ kind: "admitted" });
    }
    return await backend.send({
      method: frame.method,
      path: frame.path,
      headers: removeHopByHopHeaders(frame.headers),
      requestId: frame.requestId,
      caller: frame.caller,
      workspace: frame.authenticated ? frame.tenant : undefined,
      instance: options.instance,
      timeLeftMs: left,
      body: frame.streaming
        ? readRequestBody(channel)
        : frame.body.length > 0
        ? frame.body
        : undefined,
      signal: canceller,
    });
  }

  /** Reads and drops the body of an answer that reports that nothing ran. */
  async function discardRefusalBody(answer: BackendAnswer): Promise<void> {
    const timeout = timer.after(REFUSAL_BODY_TIMEOUT_MS, canceller.cancel);
    try {
      await discardBody(answer, {
        limit: MAX_WHOLE_ANSWER_BYTES,
        peer: frame.service,
      });
    } catch {
      // The refusal is valid without its body; only the connection is lost.
    } finally {
      timeout.cancel();
    }
  }

  async function streamRest(chunks: AsyncIterator<Uint8Array>): Promise<void> {
    while (true) {
      const next = await chunks.next();
      if (next.done) {
        await channel.send({ kind: "end" });
        return;
      }
      const bytes = next.value;
      for (let at = 0; at < bytes.length; at += MAX_WHOLE_ANSWER_BYTES) {
        const part = bytes.subarray(at, at + MAX_WHOLE_ANSWER_BYTES);
        await channel.send({ kind: "data", bytes: part });
      }
    }
  }

  async function perform(): Promise<
    { end: AttemptResult; sent: Promise<void> }
  > {
    const answer = await sendRequest();
    if (answer.metadata) {
      options.onAnswerMetadata(answer.metadata, startedAt);
    }
    const refused = findShedRefusal(answer);
    if (refused) {
      await discardRefusalBody(answer);
      return { end: refused, sent: channel.send(refused) };
    }
    const { bytes, rest } = await readPrefix(
      answer.body,
      MAX_WHOLE_ANSWER_BYTES,
    );
    const end = createAnswer(answer, {
      body: bytes,
      streaming: rest !== undefined,
    });
    if (!rest) {
      reportCompletion(answer.status < FIRST_SERVER_ERROR);
      return { end, sent: channel.send(end) };
    }
    // Once the answer is streamed, a closed channel cancels any request.
    unsubscribeClose();
    unsubscribeClose = channelClosed.onCancel(canceller.cancel);
    headSent = true;
    // A stream is neither cached nor awaited by anyone after its deadline.
    expiryTimer.cancel();
    expiryTimer = timer.after(timeLeftMs() + STREAM_GRACE_MS, expire);
    await channel.send(end);
    await streamRest(rest);
    reportCompletion(answer.status < FIRST_SERVER_ERROR);
    return { end, sent: Promise.resolve() };
  }

  const performed = perform().catch((error: unknown) => {
    const cause = toBackendError(error, frame.service);
    const end = createFailure(cause);
    if (cause.failure !== "aborted") {
      options.onFailure(cause);
    }
    if (cause.failure !== "aborted" || expired) {
      reportCompletion(false);
    }
    return { end, sent: deliverFailure(end) };
  }).finally(() => {
    unsubscribeClose();
    expiryTimer.cancel();
  });

  async function deliverFailure(end: Failed): Promise<void> {
    if (headSent) {
      // The head is already sent, so only closing the channel can show the
      // sender that the stream was cut off.
      channel.close();
      return;
    }
    await channel.send(end);
  }

  return {
    ended: performed.then(({ end }) => end),
    delivered: performed.then(({ sent }) => sent),
  };
}
