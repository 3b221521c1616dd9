/**
 * Channels within one process, so that a call to the local backend server needs
 * no network hop.
 * @module
 */
import { createCanceller } from "../core/cancellation.ts";
import { StepError } from "../core/errors.ts";
import type { Channel, Network } from "./channel.ts";
import { createInbox, type Inbox } from "./inbox.ts";

/** Creates both ends of a channel within this process. */
export function createLocalChannelPair(address: string): [Channel, Channel] {
  let closed = false;
  const closeSignal = createCanceller();
  const inboxes: [Inbox, Inbox] = [createInbox(), createInbox()];

  function close(): void {
    if (closed) {
      return;
    }
    closed = true;
    inboxes.forEach((inbox) => inbox.end());
    closeSignal.cancel();
  }

  function createEndpoint(own: Inbox, other: Inbox): Channel {
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
        other.push(frame, frame.kind === "data" ? frame.bytes.length : 0);
        await other.waitForSpace();
      },
      receive: () => own.next(),
      onClose: closeSignal.onCancel,
      close,
    };
  }
  return [
    createEndpoint(inboxes[0], inboxes[1]),
    createEndpoint(inboxes[1], inboxes[0]),
  ];
}

/** Creates a network that connects to its own address within the process. */
export function createLoopbackNetwork(
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
        const [localEnd, remoteEnd] = createLocalChannelPair(address);
        own.accept(remoteEnd);
        return Promise.resolve(localEnd);
      },
    },
  };
}
