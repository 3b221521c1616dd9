/**
 * Reads the frames of one exchange and notices when the peer is silent.
 *
 * A process that was held up finds its timers due before it has read its
 * sockets. What already lies there is read before anyone is called silent.
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

/** Lateness of a timer from which this process counts as held up, in ms. */
const HELD_UP_MS = 20;
/** Wait in which the sockets are read once, in milliseconds. */
const ONE_TURN_MS = 1;

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

  /** Receives in time, or what lies unread when the time is up. */
  async function receiveBy(
    dueAt: number,
  ): Promise<{ received: Received; lateMs: number }> {
    const received = await receiveWithin(Math.max(0, dueAt - timer.now()));
    const lateMs = Math.max(0, timer.now() - dueAt);
    if (received !== "nothing" || lateMs < HELD_UP_MS) {
      return { received, lateMs };
    }
    return { received: await receiveWithin(ONE_TURN_MS), lateMs };
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
        const silentAt = timer.now() + silenceMs();
        const { received, lateMs } = await receiveBy(
          Math.min(deadlineAt, silentAt),
        );
        if (received === "nothing" && timer.now() >= deadlineAt) {
          throw new TimeoutError(
            "exchange.receive",
            channel.peer,
            Math.round(deadlineAt - startedAt),
          );
        }
        if (received === "nothing") {
          const silentMs = timer.now() - heardAt;
          return { kind: "silence", silentMs, lateMs };
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
