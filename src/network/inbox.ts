/**
 * A queue of received frames with a single reader.
 * @module
 */
import type { Frame } from "./frames.ts";

/** Frames that were received but not read yet. */
export interface Inbox {
  /** Number of unread frames. */
  readonly size: number;
  /** Adds a frame, or hands it to the waiting reader. */
  push(frame: Frame): void;
  /** Returns the next frame, or `undefined` once the queue has ended. */
  next(): Promise<Frame | undefined>;
  /** Resolves once fewer than `MAX_UNREAD_FRAMES` are unread. */
  waitForSpace(): Promise<void>;
  /** Ends the queue; frames that it contains can still be read. */
  end(): void;
}

/** Number of unread frames at which senders have to wait. */
export const MAX_UNREAD_FRAMES = 16;

/** Creates an empty inbox. */
export function createInbox(onRead: () => void = () => {}): Inbox {
  const frames: Frame[] = [];
  let waitingReader: ((frame: Frame | undefined) => void) | undefined;
  let ended = false;
  let spaceWaiters: (() => void)[] = [];

  function hasSpace(): boolean {
    return ended || frames.length < MAX_UNREAD_FRAMES;
  }

  function wakeSenders(): void {
    if (hasSpace() && spaceWaiters.length > 0) {
      const waiting = spaceWaiters;
      spaceWaiters = [];
      waiting.forEach((wake) => wake());
    }
  }

  return {
    get size() {
      return frames.length;
    },
    push(frame) {
      if (waitingReader) {
        const resolve = waitingReader;
        waitingReader = undefined;
        resolve(frame);
      } else {
        frames.push(frame);
      }
    },
    next() {
      const frame = frames.shift();
      if (frame) {
        wakeSenders();
        onRead();
        return Promise.resolve(frame);
      }
      if (ended) {
        return Promise.resolve(undefined);
      }
      return new Promise((resolve) => {
        waitingReader = resolve;
      });
    },
    waitForSpace: () =>
      hasSpace()
        ? Promise.resolve()
        : new Promise((resolve) => spaceWaiters.push(resolve)),
    end() {
      ended = true;
      wakeSenders();
      waitingReader?.(undefined);
      waitingReader = undefined;
    },
  };
}
