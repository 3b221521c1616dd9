/**
 * Sends the body of a request behind its attempt.
 * @module
 */
import type { Channel } from "../network/channel.ts";

/** A body that is being sent, or has been. */
export interface BodyUpload {
  /** Whether the whole body and the frame that ends it were sent. */
  readonly complete: boolean;
}

/**
 * Starts to send a body; errors close the channel, since the guard must not
 * take a cut body for a complete one. It stops once the channel is closed, and
 * leaves the rest of the body unread.
 */
export function startUpload(
  channel: Channel,
  body: AsyncIterable<Uint8Array>,
): BodyUpload {
  let complete = false;

  async function send(): Promise<void> {
    try {
      for await (const bytes of body) {
        await channel.send({ kind: "data", bytes });
      }
      await channel.send({ kind: "end" });
      complete = true;
    } catch {
      channel.close();
    }
  }
  void send();

  return {
    get complete() {
      return complete;
    },
  };
}
