/**
 * A queue of received frames with a single reader.
 * @module
 */
import type { Frame } from "./frames.ts";

/** Frames that were received but not read yet. */
export interface Inbox {
  /** Whether senders have to wait until frames are read. */
  readonly full: boolean;
  /** Adds a frame of some bytes, or hands it to the waiting reader. */
  push(frame: Frame, bytes: number): void;
  /** Returns the next frame, or `undefined` once the queue has ended. */
  next(): Promise<Frame | undefined>;
  /** Resolves once the queue is no longer full. */
  waitForSpace(): Promise<void>;
  /** Ends the queue; frames that it contains can still be read. */
  end(): void;
}

/** Number of unread frames at which senders have to wait. */
export const MAX_UNREAD_FRAMES = 16;
/** Bytes of unread frames at which senders have to wait; one frame may exceed it. */
export const MAX_UNREAD_BYTES = 256 * 1024;

/** Creates an empty inbox. */
export function createInbox(onRead: () => void = () => {}): Inbox {
  const unread: { frame: Frame; bytes: number }[] = [];
  let unreadBytes = 0;
  let waitingReader: ((frame: Frame | undefined) => void) | undefined;
  let ended = false;
  let spaceWaiters: (() => void)[] = [];

  function isFull(): boolean {
    return unread.length >= MAX_UNREAD_FRAMES ||
      unreadBytes >= MAX_UNREAD_BYTES;
  }

  function hasSpace(): boolean {
    return ended || !isFull();
  }

  function wakeSenders(): void {
    if (hasSpace() && spaceWaiters.length > 0) {
      const waiting = spaceWaiters;
      spaceWaiters = [];
      waiting.forEach((wake) => wake());
    }
  }

  return {
    get full() {
      return isFull();
    },
    push(frame, bytes) {
      if (waitingReader) {
        const resolve = waitingReader;
        waitingReader = undefined;
        resolve(frame);
      } else {
        unread.push({ frame, bytes });
        unreadBytes += bytes;
      }
    },
    next() {
      const first = unread.shift();
      if (first) {
        unreadBytes -= first.bytes;
        wakeSenders();
        onRead();
        return Promise.resolve(first.frame);
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
