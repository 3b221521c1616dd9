/**
 * Runs one admitted attempt at the backend server and delivers its answer.
 * @module
 */
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { errorMessage, StepError } from "../core/errors.ts";
import { endToEnd, headerValue } from "../core/headers.ts";
import type { Channel } from "../network/channel.ts";
import type {
  Answer,
  Attempt,
  Failed,
  Load,
  Refused,
} from "../network/frames.ts";
import { LONGEST_TIMEOUT_MS } from "../settings/site.ts";
import type { Timer } from "../time/timer.ts";
import { readAway, readStart } from "./answer_body.ts";
import {
  type Backend,
  type BackendAnswer,
  BackendError,
  type BackendVerdict,
} from "./backend.ts";
import type { Completion } from "./warmup.ts";

/** Largest answer sent as one frame, and kept, in bytes. */
export const WHOLE_ANSWER_BYTES = 64 * 1024;
/** Time past its deadline for which unrepeatable work may go on. */
const UNREPEATABLE_GRACE_MS = 10_000;
/**
 * Time past its deadline for which other work may go on, so that the backend
 * server can end it itself, with an answer.
 */
const REPEATABLE_GRACE_MS = 25;
/** Longest wait for the rest of a refusal, whose caller waits meanwhile. */
const REFUSAL_BODY_MS = 50;
const SHED_STATUS = 503;
const FIRST_SUCCESS = 200;
const FIRST_REDIRECT = 300;
const FIRST_SERVER_ERROR = 500;

/** How an attempt ended. */
export type End = Answer | Failed | Refused;

/** One attempt that runs. */
export interface Run {
  /** How the backend server ended it. Never rejects. */
  ended: Promise<End>;
  /** Settles once the answer was sent, or the channel was lost. */
  delivered: Promise<void>;
}

/** Options of {@link runAttempt}. */
export interface RunOptions {
  channel: Channel;
  frame: Attempt;
  backend: Backend;
  /** Instance of the backend server that is meant to run it. */
  instance: string;
  timer: Timer;
  /** Aborted when the channel closes. */
  gone: Cancellation;
  load: () => Load;
  shedMeansNotRun: boolean;
  onFailure: (error: BackendError) => void;
  onCompletion: (completion: Omit<Completion, "class">) => void;
  /** The head of an answer has come. */
  onVerdict: (verdict: BackendVerdict) => void;
}

/** Reads a request body from the channel as the backend server takes it. */
async function* bodyFrom(channel: Channel): AsyncGenerator<Uint8Array> {
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

/** A channel that was lost says nothing about the backend server. */
function asBackendError(error: unknown, peer: string): BackendError {
  if (error instanceof BackendError) {
    return error;
  }
  const channel = error instanceof StepError &&
    error.step.startsWith("channel.");
  return new BackendError(channel ? "aborted" : "reset", {
    peer,
    message: errorMessage(error),
    cause: error,
  });
}

/** Starts an attempt that holds a place at the backend server. */
export function runAttempt(options: RunOptions): Run {
  const { channel, frame, backend, timer, gone, load } = options;
  const { attempt } = frame;
  const startedAt = timer.now();
  let headSent = false;
  const stop = createCanceller();
  // Work that must not be repeated may end late, so that its answer is kept.
  const longestMs = frame.timeLeftMs +
    (frame.repeatable ? REPEATABLE_GRACE_MS : UNREPEATABLE_GRACE_MS);
  let expired = false;
  let expiry = timer.after(longestMs, expire);
  let releaseGone = (): void => {};
  if (frame.repeatable) {
    releaseGone = gone.onCancel(stop.cancel);
  }

  function expire(): void {
    expired = true;
    stop.cancel();
    if (headSent) {
      // The other end may not take what is being sent, and wait for ever.
      channel.close();
    }
  }

  /** Time for which the body of an answer may still come. */
  function streamMs(status: number): number {
    const success = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    return success ? LONGEST_TIMEOUT_MS : timeLeftMs() + REPEATABLE_GRACE_MS;
  }

  /** Time that is left until the deadline. */
  function timeLeftMs(): number {
    return Math.max(0, frame.timeLeftMs - (timer.now() - startedAt));
  }

  function failed(error: BackendError): Failed {
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

  function complete(ok: boolean): void {
    const endedAt = timer.now();
    options.onCompletion({ latencyMs: endedAt - startedAt, ok, endedAt });
  }

  function shed(answer: BackendAnswer): Refused | undefined {
    const shedBySetting = answer.status === SHED_STATUS &&
      options.shedMeansNotRun;
    if (!shedBySetting && !answer.verdict?.notRun) {
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

  function head(
    answer: BackendAnswer,
    content: { body: Uint8Array; streaming: boolean },
  ): Answer {
    return {
      kind: "answer",
      attempt,
      status: answer.status,
      headers: endToEnd(answer.headers),
      ...content,
      load: load(),
    };
  }

  async function request(): Promise<BackendAnswer> {
    const left = timeLeftMs();
    if (frame.streaming) {
      await channel.send({ kind: "admitted" });
    }
    return await backend.send({
      method: frame.method,
      path: frame.path,
      headers: endToEnd(frame.headers),
      requestId: frame.requestId,
      caller: frame.caller,
      instance: options.instance,
      timeLeftMs: left,
      body: frame.streaming
        ? bodyFrom(channel)
        : frame.body.length > 0
        ? frame.body
        : undefined,
      signal: stop,
    });
  }

  /** Reads the rest of an answer whose head alone says that nothing ran. */
  async function readRefusal(answer: BackendAnswer): Promise<void> {
    const timeout = timer.after(REFUSAL_BODY_MS, stop.cancel);
    try {
      await readAway(answer, {
        limit: WHOLE_ANSWER_BYTES,
        peer: frame.service,
      });
    } catch {
      // The refusal holds all the same; only its connection is lost.
    } finally {
      timeout.cancel();
    }
  }

  async function sendRest(chunks: AsyncIterator<Uint8Array>): Promise<void> {
    while (true) {
      const next = await chunks.next();
      if (next.done) {
        await channel.send({ kind: "end" });
        return;
      }
      const bytes = next.value;
      for (let at = 0; at < bytes.length; at += WHOLE_ANSWER_BYTES) {
        const part = bytes.subarray(at, at + WHOLE_ANSWER_BYTES);
        await channel.send({ kind: "data", bytes: part });
      }
    }
  }

  async function perform(): Promise<{ end: End; sent: Promise<void> }> {
    const answer = await request();
    if (answer.verdict) {
      options.onVerdict(answer.verdict);
    }
    const refused = shed(answer);
    if (refused) {
      await readRefusal(answer);
      return { end: refused, sent: channel.send(refused) };
    }
    const { bytes, rest } = await readStart(answer.body, WHOLE_ANSWER_BYTES);
    const end = head(answer, { body: bytes, streaming: rest !== undefined });
    if (!rest) {
      complete(answer.status < FIRST_SERVER_ERROR);
      return { end, sent: channel.send(end) };
    }
    // A stream that the channel no longer takes is given up.
    releaseGone();
    releaseGone = gone.onCancel(stop.cancel);
    headSent = true;
    // A long success may take its time; a failure has until the deadline.
    expiry.cancel();
    expiry = timer.after(streamMs(answer.status), expire);
    await channel.send(end);
    await sendRest(rest);
    complete(answer.status < FIRST_SERVER_ERROR);
    return { end, sent: Promise.resolve() };
  }

  const performed = perform().catch((error: unknown) => {
    const cause = asBackendError(error, frame.service);
    const end = failed(cause);
    if (cause.failure !== "aborted") {
      options.onFailure(cause);
    }
    if (cause.failure !== "aborted" || expired) {
      complete(false);
    }
    return { end, sent: deliverFailure(end) };
  }).finally(() => {
    releaseGone();
    expiry.cancel();
  });

  async function deliverFailure(end: Failed): Promise<void> {
    if (headSent) {
      // Only a broken connection tells the truth about a cut stream.
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
