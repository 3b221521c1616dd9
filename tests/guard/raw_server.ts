/**
 * A raw TCP server for tests. It writes any bytes, also endless ones, that a
 * correct HTTP server would not send.
 * @module
 */
import { createServer, type Socket } from "node:net";

const HOST = "127.0.0.1";
/** Minimum number of bytes that a flood passes to one write. */
const FLOOD_BYTES = 16 * 1024;

/** One connection to the server. */
export interface RawConnection {
  /** Whether the connection is closed, by either end. */
  readonly closed: boolean;
  /** Bytes written so far. */
  readonly bytesWritten: number;
  /** Writes a text once. */
  write(text: string): void;
  /** Writes a text once, and closes the connection behind it. */
  end(text: string): void;
  /** Writes a text repeatedly until the connection closes. */
  flood(text: string): void;
}

/** A running raw TCP server. */
export interface RawServer {
  /** Address on which the server listens, `ip:port`. */
  readonly address: string;
  /** All accepted connections, open and closed, in order. */
  readonly connections: readonly RawConnection[];
  close(): void;
}

function wrap(socket: Socket): RawConnection {
  let closed = false;
  socket.on("error", () => {});
  socket.on("close", () => {
    closed = true;
  });
  return {
    get closed() {
      return closed;
    },
    get bytesWritten() {
      return socket.bytesWritten;
    },
    write: (text) => void socket.write(text),
    end: (text) => void socket.end(text),
    flood(text) {
      const bytes = Buffer.from(
        text.repeat(Math.ceil(FLOOD_BYTES / text.length)),
      );
      function writeUntilFull(): void {
        while (!socket.destroyed && socket.write(bytes)) {
          // The loop ends when the socket's buffer is full.
        }
      }
      socket.on("drain", writeUntilFull);
      writeUntilFull();
    },
  };
}

/** Starts a server that calls `serve` with the text of each received chunk. */
export function startRawServer(
  serve: (connection: RawConnection, request: string) => void,
): Promise<RawServer> {
  const connections: RawConnection[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    const connection = wrap(socket);
    connections.push(connection);
    socket.on("data", (chunk) => serve(connection, chunk.toString("latin1")));
  });
  return new Promise((resolve) =>
    server.listen(0, HOST, () => {
      const bound = server.address();
      const port = typeof bound === "object" && bound ? bound.port : 0;
      resolve({
        address: `${HOST}:${port}`,
        connections,
        close() {
          sockets.forEach((socket) => socket.destroy());
          server.close();
        },
      });
    })
  );
}
