/**
 * Reads the frames of one exchange and notices when the peer is silent.
 * @module
 */
import { StepError, TimeoutError } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type { Frame } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";

/** Nothing came from the peer for as long as a silence may last. */
export interface Silence {
  kind: "silence";
  /** Time for which nothing came, in milliseconds. */
  silentMs: number;
  /** How much later than asked this process noticed it, in milliseconds. */
  lateMs: number;
}

/** Reads the frames of one exchange. */
export interface FrameReader {
  /**
   * Returns the next frame that is more than a sign of life, or a silence. A
   * silence ends nothing: the next call waits on. Rejects with `TimeoutError`
   * at the deadline, and with `StepError` once the channel is closed.
   */
  next(deadlineAt: number): Promise<Frame | Silence>;
  /** Resolves once anything has come, or the channel is closed. */
  heard(): Promise<void>;
}

/** Options of {@link createFrameReader}. */
export interface FrameReaderOptions {
  timer: Timer;
  /** Longest silence of a peer in milliseconds. */
  silenceMs: () => number;
}

/** What a wait for a frame brought. */
type Received = { frame: Frame | undefined } | "nothing";

/** Creates a reader; it alone receives from the channel. */
export function createFrameReader(
  channel: Channel,
  options: FrameReaderOptions,
): FrameReader {
  const { timer, silenceMs } = options;
  let heardAt = timer.now();
  let receiving = false;
  let unread: Received = "nothing";
  let deliver: ((received: Received) => void) | undefined;
  let onHeard = (): void => {};

  async function receive(): Promise<void> {
    receiving = true;
    const frame = await channel.receive();
    receiving = false;
    heardAt = timer.now();
    onHeard();
    if (deliver) {
      deliver({ frame });
    } else {
      unread = { frame };
    }
  }

  function receiveWithin(waitMs: number): Promise<Received> {
    if (unread !== "nothing") {
      const received = unread;
      unread = "nothing";
      return Promise.resolve(received);
    }
    return new Promise((resolve) => {
      const timeout = timer.after(waitMs, () => settle("nothing"));
      function settle(received: Received): void {
        deliver = undefined;
        timeout.cancel();
        resolve(received);
      }
      deliver = settle;
      if (!receiving) {
        void receive();
      }
    });
  }

  function frameOf({ frame }: { frame: Frame | undefined }): Frame {
    if (!frame) {
      throw new StepError("exchange.receive", "connection closed", {
        peer: channel.peer,
      });
    }
    return frame;
  }

  return {
    async next(deadlineAt) {
      const startedAt = timer.now();
      while (true) {
        const dueAt = Math.min(deadlineAt, timer.now() + silenceMs());
        const received = await receiveWithin(Math.max(0, dueAt - timer.now()));
        // A timer may fire a little early, so the time does not tell.
        if (received === "nothing" && dueAt === deadlineAt) {
          throw new TimeoutError(
            "exchange.receive",
            channel.peer,
            Math.round(deadlineAt - startedAt),
          );
        }
        if (received === "nothing") {
          const now = timer.now();
          return {
            kind: "silence",
            silentMs: now - heardAt,
            lateMs: Math.max(0, now - dueAt),
          };
        }
        const frame = frameOf(received);
        if (frame.kind !== "pong") {
          return frame;
        }
      }
    },
    heard() {
      if (unread !== "nothing") {
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        onHeard = resolve;
        if (!receiving) {
          void receive();
        }
      });
    },
  };
}
