/**
 * Holds a channel to the order of exchanges, at the end that serves them. The
 * frames of a request's body name no attempt: they belong to the attempt that
 * was admitted last, up to its `end` frame. A frame of any other kind before
 * that `end`, or a part of a body that no attempt has announced, shows that the
 * sender has mixed two exchanges, so the channel is closed.
 * @module
 */
import type { Channel } from "./channel.ts";
import type { Frame } from "./frames.ts";

function isBodyPart({ kind }: Frame): boolean {
  return kind === "data" || kind === "end";
}

/**
 * Wraps a channel on which attempts are received. A reader gets the frames of
 * one exchange after the other; what is left of the body of an attempt that has
 * ended is still received, and the reader drops it.
 */
export function holdExchangeOrder(channel: Channel): Channel {
  /** Whether an attempt was admitted whose body has not been received whole. */
  let bodyDue = false;

  return {
    peer: channel.peer,
    get closed() {
      return channel.closed;
    },
    get closeMayBePending() {
      return channel.closeMayBePending;
    },
    get maxUnreadMs() {
      return channel.maxUnreadMs;
    },
    send(frame) {
      if (frame.kind === "admitted") {
        bodyDue = true;
      }
      return channel.send(frame);
    },
    async receive() {
      const frame = await channel.receive();
      if (!frame) {
        return undefined;
      }
      if (isBodyPart(frame) !== bodyDue) {
        channel.close();
        return undefined;
      }
      if (frame.kind === "end") {
        bodyDue = false;
      }
      return frame;
    },
    onClose: channel.onClose,
    close: channel.close,
  };
}
