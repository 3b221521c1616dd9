/**
 * Reads the frames of one exchange, and detects when the peer is silent.
 * @module
 */
import { StepError, TimeoutError } from "../core/errors.ts";
import type { Channel } from "../network/channel.ts";
import type { Frame } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";

/** Reports that no frame came from the peer within the silence timeout. */
export interface Silence {
  kind: "silence";
  /** Time since the last frame. */
  silentMs: number;
  /** Delay with which this process noticed the silence. */
  lateMs: number;
}

/** Reads the frames of one exchange. */
export interface FrameReader {
  /**
   * Resolves with the next frame other than a keepalive, or with a silence.
   * After a silence, the next call goes on waiting. Rejects with `TimeoutError`
   * at the deadline, and with `StepError` once the channel is closed.
   */
  next(deadlineAt: number): Promise<Frame | Silence>;
  /** Resolves once any frame has come or the channel is closed. */
  waitForActivity(): Promise<void>;
}

/** Options of {@link createFrameReader}. */
export interface FrameReaderOptions {
  timer: Timer;
  /** Returns the time without a frame after which a peer counts as silent. */
  silenceMs: () => number;
}

/** Result of waiting for a frame; its frame is undefined after a close. */
type Received = { frame: Frame | undefined } | "nothing";

/** Creates a reader, which must be the only receiver of the channel. */
export function createFrameReader(
  channel: Channel,
  options: FrameReaderOptions,
): FrameReader {
  const { timer, silenceMs } = options;
  let lastActivityAt = timer.now();
  let receiving = false;
  let buffered: Received = "nothing";
  let deliver: ((received: Received) => void) | undefined;
  let onActivity = (): void => {};

  async function receive(): Promise<void> {
    receiving = true;
    const frame = await channel.receive();
    receiving = false;
    lastActivityAt = timer.now();
    onActivity();
    if (deliver) {
      deliver({ frame });
    } else {
      buffered = { frame };
    }
  }

  function receiveWithin(waitMs: number): Promise<Received> {
    if (buffered !== "nothing") {
      const received = buffered;
      buffered = "nothing";
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

  function requireFrame({ frame }: { frame: Frame | undefined }): Frame {
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
        const timeoutAt = Math.min(deadlineAt, timer.now() + silenceMs());
        const received = await receiveWithin(
          Math.max(0, timeoutAt - timer.now()),
        );
        // A timer may fire slightly before the deadline, so the current time is
        // not compared with it.
        if (received === "nothing" && timeoutAt === deadlineAt) {
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
            silentMs: now - lastActivityAt,
            lateMs: Math.max(0, now - timeoutAt),
          };
        }
        const frame = requireFrame(received);
        if (frame.kind !== "pong") {
          return frame;
        }
      }
    },
    waitForActivity() {
      if (buffered !== "nothing") {
        return Promise.resolve();
      }
      return new Promise((resolve) => {
        onActivity = resolve;
        if (!receiving) {
          void receive();
        }
      });
    },
  };
}
