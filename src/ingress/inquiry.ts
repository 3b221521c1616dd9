/**
 * What to do about a guard that is silent while an attempt is there. It may be
 * lost, may be held up, or may be well behind a connection that has lost track
 * of it. It is asked over a new connection, while the old one is listened to.
 * @module
 */
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type { FenceState, Frame } from "../network/frames.ts";
import { sleep, type Timer } from "../time/timer.ts";
import type { Conversation, Ends, ExchangeEnd } from "./conversation.ts";
import {
  createFrameReader,
  type FrameReader,
  type Silence,
} from "./frame_reader.ts";
import type { PeerPool } from "./peer_pool.ts";
import type { Reachability } from "./reachability.ts";

/**
 * What a silent guard turns out to be. `heard`: it went on by itself; `waited`:
 * others ask it already, or the time was up; `lost`: nothing more is known of
 * the attempt.
 */
export const SILENCE_FINDINGS = [
  "heard",
  "waited",
  "fenced",
  "resumed",
  "lost",
] as const;

/** What a silent guard turned out to be. */
export interface SilenceFinding extends Omit<Silence, "kind"> {
  /** Request that was being attempted. */
  requestId: string;
  peer: string;
  finding: (typeof SILENCE_FINDINGS)[number];
}

/** Options of {@link createInquiries}. */
export interface InquiryOptions {
  pool: PeerPool;
  reachability: Reachability;
  ends: Ends;
  timer: Timer;
  /** Longest silence of a guard in milliseconds. */
  silenceMs: () => number;
  /** A guard was silent, and this is what it turned out to be. */
  onSilence?: (finding: SilenceFinding) => void;
}

/** Asks guards about attempts. */
export interface Inquiries {
  /**
   * Resolves with the end of an attempt at a silent guard, or with nothing if
   * the guard is to be waited for or the deadline has come. Rejects with `StepError` if it is lost.
   */
  settle(
    talk: Conversation,
    silence: Silence,
  ): Promise<ExchangeEnd | undefined>;
  /** Fences an attempt, or learns its state. */
  askState(talk: Conversation): Promise<FenceState | "unreachable">;
  /** Asks a guard for the end of an attempt that waits or runs there. */
  takeUp(talk: Conversation): Promise<ExchangeEnd>;
  /** Creates a reader of a channel. */
  readerOf(channel: Channel): FrameReader;
}

/** Questions that one silent guard is asked at once. */
const MAX_QUESTIONS = 8;
/** States of an attempt whose end can be asked for. */
const TAKEN_UP = new Set<string>(["running", "finished", "failed"]);

function silent(peer: string, finding: string): StepError {
  return new StepError("exchange.receive", `silent, and ${finding}`, { peer });
}

/** Creates inquiries. */
export function createInquiries(options: InquiryOptions): Inquiries {
  const { pool, reachability, ends, timer, silenceMs } = options;
  const questions = new Map<string, number>();

  function readerOf(channel: Channel): FrameReader {
    return createFrameReader(channel, options);
  }

  /** Receives a frame; a silent peer is waited for while it is reachable. */
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
        throw silent(peer, "unreachable");
      }
    }
  }

  async function takeUp(talk: Conversation): Promise<ExchangeEnd> {
    const { channel, reader, work } = talk;
    const { attempt, incarnation, deadlineAt } = work;
    await channel.send({ kind: "resume", attempt, incarnation });
    while (true) {
      const frame = await nextWhileReachable(reader, {
        peer: channel.peer,
        deadlineAt,
      });
      const end = ends.of(frame, talk);
      if (end) {
        return end;
      }
    }
  }

  async function askState(
    { channel, reader, work }: Conversation,
  ): Promise<FenceState | "unreachable"> {
    const { attempt, incarnation, deadlineAt } = work;
    await channel.send({ kind: "fence", attempt, incarnation });
    const frame = await nextWhileReachable(reader, {
      peer: channel.peer,
      deadlineAt,
    });
    return frame.kind === "fence_state" ? frame.state : "unreachable";
  }

  /**
   * Asks a silent guard over a new connection: an attempt that it does not
   * know is fenced, and the end of another is taken up there. `abandoned` ends
   * the question.
   */
  async function inquire(
    { channel: { peer }, work }: Conversation,
    abandoned: Cancellation,
  ): Promise<ExchangeEnd> {
    const channel = await pool.connect(peer);
    const releases = [
      abandoned.onCancel(channel.close),
      work.signal.onCancel(channel.close),
    ];
    const talk = { channel, reader: readerOf(channel), work };
    try {
      const state = await askState(talk);
      if (state === "fenced") {
        pool.giveBack(channel);
        return { kind: "fenced" };
      }
      if (!TAKEN_UP.has(state)) {
        throw silent(peer, state);
      }
      return await takeUp(talk);
    } catch (error) {
      channel.close();
      throw error;
    } finally {
      releases.forEach((release) => release());
    }
  }

  /** Asks, unless enough questions wait for the guard already. */
  async function askIfFew(
    talk: Conversation,
    abandoned: Cancellation,
  ): Promise<ExchangeEnd | "waited"> {
    const { peer } = talk.channel;
    if (!await reachability.check(peer)) {
      throw silent(peer, "unreachable");
    }
    const asked = questions.get(peer) ?? 0;
    if (asked >= MAX_QUESTIONS) {
      await sleep(timer, silenceMs());
      return "waited";
    }
    questions.set(peer, asked + 1);
    try {
      return await inquire(talk, abandoned);
    } finally {
      const left = questions.get(peer)! - 1;
      if (left > 0) {
        questions.set(peer, left);
      } else {
        questions.delete(peer);
      }
    }
  }

  function note(
    { channel: { peer }, work: { requestId } }: Conversation,
    { silence, finding }: {
      silence: Silence;
      finding: SilenceFinding["finding"];
    },
  ): void {
    const { silentMs, lateMs } = silence;
    options.onSilence?.({ requestId, peer, finding, silentMs, lateMs });
  }

  function findingOf(
    answer: ExchangeEnd | "waited" | void,
  ): SilenceFinding["finding"] {
    if (answer === "waited") {
      return answer;
    }
    if (!answer) {
      return "heard";
    }
    return answer.kind === "fenced" ? "fenced" : "resumed";
  }

  async function settle(
    talk: Conversation,
    silence: Silence,
  ): Promise<ExchangeEnd | undefined> {
    const { reader, work } = talk;
    const abandoned = createCanceller();
    const deadline = new AbortController();
    work.onSlow?.();
    const asking = askIfFew(talk, abandoned);
    // Once the guard is heard, nobody waits for it.
    asking.catch(() => {});
    try {
      const answer = await Promise.race([
        asking,
        reader.heard(),
        timeUp(work.deadlineAt, deadline.signal),
      ]);
      note(talk, { silence, finding: findingOf(answer) });
      return answer === "waited" ? undefined : answer ?? undefined;
    } catch (error) {
      note(talk, { silence, finding: "lost" });
      throw error;
    } finally {
      abandoned.cancel();
      deadline.abort();
    }
  }

  async function timeUp(at: number, signal: AbortSignal): Promise<"waited"> {
    await sleep(timer, Math.max(0, at - timer.now()), { signal });
    return "waited";
  }

  return { settle, askState, takeUp, readerOf };
}
