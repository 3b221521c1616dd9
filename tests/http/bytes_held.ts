/**
 * Counts what a process in between holds of the bytes that pass through it,
 * apart from the kernel's buffers and from memory not yet collected.
 */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Bytes between two ports, from when it was created. */
export interface BytesHeld {
  /** Bytes read from servers at `from` that no caller's socket has sent on. */
  count(): number;
  end(): void;
}

/** Watches this process's connections to port `from`, and those taken at `to`. */
export function watchBytesHeld(from: number, to: number): BytesHeld {
  const clients = new Set<Socket>();
  const servers = new Set<Socket>();
  const onClient = (message: unknown): void => {
    clients.add((message as { socket: Socket }).socket);
  };
  const onServer = (message: unknown): void => {
    servers.add((message as { socket: Socket }).socket);
  };
  subscribe("net.client.socket", onClient);
  subscribe("net.server.socket", onServer);

  function readFromServers(): number {
    return [...clients].filter((socket) => socket.remotePort === from)
      .reduce((sum, socket) => sum + socket.bytesRead, 0);
  }

  // What is still queued in a socket counts as written there.
  function sentToCallers(): number {
    return [...servers].filter((socket) => socket.localPort === to)
      .reduce((sum, one) => sum + one.bytesWritten - one.writableLength, 0);
  }

  return {
    count: () => readFromServers() - sentToCallers(),
    end() {
      unsubscribe("net.client.socket", onClient);
      unsubscribe("net.server.socket", onServer);
    },
  };
}
