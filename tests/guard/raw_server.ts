/**
 * A raw TCP server for tests: it writes what no sound HTTP server would, also
 * without end.
 * @module
 */
import { createServer, type Socket } from "node:net";

const HOST = "127.0.0.1";
/** Least number of bytes that a flood writes at once. */
const FLOOD_BYTES = 16 * 1024;

/** One connection to the server. */
export interface RawConnection {
  /** Whether the other end, or a test, has closed it. */
  readonly closed: boolean;
  /** Bytes written so far. */
  readonly written: number;
  /** Writes once. */
  write(text: string): void;
  /** Writes the same again and again until the connection closes. */
  flood(text: string): void;
}

/** A server of raw bytes. */
export interface RawServer {
  /** Where it listens, `ip:port`. */
  readonly address: string;
  /** All connections so far. */
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
    get written() {
      return socket.bytesWritten;
    },
    write: (text) => void socket.write(text),
    flood(text) {
      const bytes = Buffer.from(
        text.repeat(Math.ceil(FLOOD_BYTES / text.length)),
      );
      function push(): void {
        while (!socket.destroyed && socket.write(bytes)) {
          // As much as the other end takes.
        }
      }
      socket.on("drain", push);
      push();
    },
  };
}

/** Starts a server that is told of each request as its text. */
export function startRawServer(
  serve: (connection: RawConnection, request: string) => void,
): Promise<RawServer> {
  const connections: RawConnection[] = [];
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    const connection = wrap(socket);
    connections.push(connection);
    socket.on("data", (part) => serve(connection, part.toString("latin1")));
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
