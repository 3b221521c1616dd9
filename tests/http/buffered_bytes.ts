/**
 * Counts the bytes that this process has read from backend servers and not yet
 * sent on to callers. The kernel's buffers and memory that awaits garbage
 * collection do not count.
 */
import { subscribe, unsubscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";

/** Bytes that this process buffers between backend servers and callers. */
export interface BufferedBytes {
  /** Returns the bytes read from servers and not yet sent to callers. */
  count(): number;
  end(): void;
}

/**
 * Tracks the connections that this process opens to port `from` from now on,
 * and those that it accepts at port `to`.
 */
export function trackBufferedBytes(from: number, to: number): BufferedBytes {
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

  function bytesReadFromServers(): number {
    return [...clients].filter((socket) => socket.remotePort === from)
      .reduce((sum, socket) => sum + socket.bytesRead, 0);
  }

  // bytesWritten includes the bytes that are still queued in the socket.
  function bytesSentToCallers(): number {
    return [...servers].filter((socket) => socket.localPort === to)
      .reduce((sum, one) => sum + one.bytesWritten - one.writableLength, 0);
  }

  return {
    count: () => bytesReadFromServers() - bytesSentToCallers(),
    end() {
      unsubscribe("net.client.socket", onClient);
      unsubscribe("net.server.socket", onServer);
    },
  };
}
