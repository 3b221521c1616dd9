/**
 * Channels over TCP.
 * @module
 */
import { createServer, type Socket } from "node:net";
import { connect as connectSocket } from "node:net";
import { createCanceller } from "../core/cancellation.ts";
import { processBufferCollector } from "../core/buffer_collector.ts";
import { errorMessage, StepError, TimeoutError } from "../core/errors.ts";
import {
  type Channel,
  isConnectable,
  type Listener,
  type Network,
  splitAddress,
} from "./channel.ts";
import { createFrameAssembler } from "./frame_assembler.ts";
import { encodeFrame } from "./frame_codec.ts";
import { type EventLoopLag, noLag } from "../time/event_loop_lag.ts";
import { createInbox } from "./inbox.ts";

/** Creates a channel on a connected socket. */
function createTcpChannel(
  socket: Socket,
  { peer, lag }: { peer: string; lag: EventLoopLag },
): Channel {
  const closeSignal = createCanceller();
  let closed = false;
  let closeMayBePending = false;
  let maxUnreadMs = 0;
  let waitingSenders: (() => void)[] = [];
  const inbox = createInbox(() => {
    if (!inbox.full) {
      socket.resume();
    }
  });
  const assembler = createFrameAssembler({ peer, onFrame: inbox.push });

  /** Wakes all senders: body parts and keepalives may wait at the same time. */
  function wakeSenders(): void {
    const woken = waitingSenders;
    waitingSenders = [];
    woken.forEach((wake) => wake());
  }

  function close(): void {
    if (closed) {
      return;
    }
    closed = true;
    socket.destroy();
    inbox.end();
    wakeSenders();
    closeSignal.cancel();
  }

  socket.setNoDelay(true);
  socket.on("data", (chunk: Buffer) => {
    processBufferCollector.note(chunk.length);
    closeMayBePending = lag.lagging;
    maxUnreadMs = lag.maxUnreadMs;
    try {
      assembler.push(chunk);
    } catch {
      close();
      return;
    }
    if (inbox.full) {
      socket.pause();
    }
  });
  socket.on("drain", wakeSenders);
  socket.on("end", close);
  socket.on("error", close);
  socket.on("close", close);

  return {
    peer,
    get closed() {
      return closed;
    },
    get closeMayBePending() {
      return closeMayBePending;
    },
    get maxUnreadMs() {
      return maxUnreadMs;
    },
    async send(frame) {
      if (closed) {
        throw new StepError("channel.send", "channel is closed", { peer });
      }
      if (!socket.write(encodeFrame(frame))) {
        await new Promise<void>((resolve) => waitingSenders.push(resolve));
        if (closed) {
          throw new StepError("channel.send", "channel closed", { peer });
        }
      }
    },
    receive: () => inbox.next(),
    onClose: closeSignal.onCancel,
    close,
  };
}

function connect(
  address: string,
  { timeoutMs, lag }: { timeoutMs: number; lag: EventLoopLag },
): Promise<Channel> {
  if (!isConnectable(address)) {
    const error = new StepError("channel.connect", "not a host and a port", {
      peer: address,
    });
    return Promise.reject(error);
  }
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    const socket = connectSocket({ host, port });
    function fail(error: unknown): void {
      socket.destroy();
      reject(
        new StepError("channel.connect", errorMessage(error), {
          peer: address,
          cause: error,
        }),
      );
    }
    socket.setTimeout(timeoutMs, () =>
      // After a stall of this process, the socket may be connected by now.
      setImmediate(() => {
        if (socket.connecting) {
          socket.destroy();
          reject(new TimeoutError("channel.connect", address, timeoutMs));
        }
      }));
    socket.once("error", fail);
    socket.once("connect", () => {
      socket.setTimeout(0);
      socket.off("error", fail);
      resolve(createTcpChannel(socket, { peer: address, lag }));
    });
  });
}

function listen(
  address: string,
  { accept, lag }: { accept: (channel: Channel) => void; lag: EventLoopLag },
): Promise<Listener> {
  const { host, port } = splitAddress(address);
  const server = createServer((socket) => {
    const peer = `${socket.remoteAddress}:${socket.remotePort}`;
    lag.recordAccept();
    accept(createTcpChannel(socket, { peer, lag }));
  });
  return new Promise((resolve, reject) => {
    server.once("error", (error) => {
      reject(
        new StepError("channel.listen", error.message, {
          peer: address,
          cause: error,
        }),
      );
    });
    server.listen(port, host, () => {
      const bound = server.address();
      const boundPort = typeof bound === "object" && bound ? bound.port : port;
      resolve({
        address: `${host}:${boundPort}`,
        close: () =>
          new Promise((done) => {
            server.close(() => done());
            // Accepted channels are closed by their owners, so their end is not
            // awaited.
            done();
          }),
      });
    });
  });
}

/** Creates a TCP network for a process that measures its event loop lag. */
export function createTcpNetwork(lag: EventLoopLag): Network {
  return {
    connect: (address, timeoutMs) => connect(address, { timeoutMs, lag }),
    listen: (address, accept) => listen(address, { accept, lag }),
  };
}

/** TCP network of a process that accepts no attempts. */
export const tcpNetwork: Network = createTcpNetwork(noLag);
