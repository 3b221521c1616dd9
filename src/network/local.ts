/**
 * Channels within one process, so that a call to the local backend server
 * takes no second hop.
 * @module
 */
import { createCanceller } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import type { Channel, Network } from "./channel.ts";
import { createInbox, type Inbox } from "./inbox.ts";

/** Creates both ends of a channel within this process. */
export function createLocalPair(address: string): [Channel, Channel] {
  let closed = false;
  const closing = createCanceller();
  const inboxes: [Inbox, Inbox] = [createInbox(), createInbox()];

  function close(): void {
    if (closed) {
      return;
    }
    closed = true;
    inboxes.forEach((inbox) => inbox.end());
    closing.cancel();
  }

  function end(own: Inbox, other: Inbox): Channel {
    return {
      peer: address,
      get closed() {
        return closed;
      },
      async send(frame) {
        if (closed) {
          throw new StepError("channel.send", "channel is closed", {
            peer: address,
          });
        }
        other.push(frame);
        await other.room();
      },
      receive: () => own.next(),
      onClose: closing.onCancel,
      close,
    };
  }
  return [end(inboxes[0], inboxes[1]), end(inboxes[1], inboxes[0])];
}

/** Returns a network that keeps connections to one address in the process. */
export function localFirst(
  network: Network,
  own: { address: string; accept: (channel: Channel) => void },
): { network: Network } {
  return {
    network: {
      listen: network.listen,
      connect(address, timeoutMs) {
        if (address !== own.address) {
          return network.connect(address, timeoutMs);
        }
        const [near, far] = createLocalPair(address);
        own.accept(far);
        return Promise.resolve(near);
      },
    },
  };
}
