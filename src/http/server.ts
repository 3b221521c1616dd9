/**
 * HTTP servers with limits on slow and oversized requests.
 * @module
 */
import { performance } from "node:perf_hooks";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { StepError } from "../core/errors.ts";
import { splitAddress } from "../network/channel.ts";

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_MS = 30_000;

/** Answers one request; errors are its own to handle. */
export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Creates an HTTP server that does not listen yet. */
export function createHttpServer(handler: HttpHandler): Server {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    insecureHTTPParser: false,
    noDelay: true,
  }, handler);
  trackConnections(server);
  return server;
}

/** Listens at `ip:port` and returns the bound address. */
export function listenHttp(server: Server, address: string): Promise<string> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve, reject) => {
    server.once("error", (error) => {
      reject(
        new StepError("http.listen", error.message, {
          peer: address,
          cause: error,
        }),
      );
    });
    server.listen(port, host, () => {
      const bound = server.address();
      const actual = typeof bound === "object" && bound ? bound.port : port;
      resolve(`${host}:${actual}`);
    });
  });
}

/** Time for which a new connection may still bring its first request. */
const FIRST_REQUEST_MS = 500;

/** Connections of one server. */
interface Connections {
  open: number;
  /** Connections accepted so far. */
  accepted: number;
  /** Those that have not brought a request yet. */
  withoutRequest: Set<Socket>;
  /** Answers that were begun and have not ended. */
  answers: Set<ServerResponse>;
}

const connectionsOf = new WeakMap<Server, Connections>();

/** Keeps track of a server's connections. */
function trackConnections(server: Server): void {
  const connections: Connections = {
    open: 0,
    accepted: 0,
    withoutRequest: new Set(),
    answers: new Set(),
  };
  const { withoutRequest, answers } = connections;
  connectionsOf.set(server, connections);
  server.on("connection", (socket) => {
    connections.open++;
    connections.accepted++;
    withoutRequest.add(socket);
    socket.once("close", () => {
      connections.open--;
      withoutRequest.delete(socket);
    });
  });
  server.on("request", ({ socket }, response: ServerResponse) => {
    withoutRequest.delete(socket);
    answers.add(response);
    response.once("close", () => answers.delete(response));
  });
}

/** Returns how many connections of a server are open. */
export function openConnections(server: Server): number {
  return connectionsOf.get(server)?.open ?? 0;
}

/** Whether an answer is there as a whole, but its caller has yet to take it. */
function isBeingTaken(server: Server): boolean {
  const answers = connectionsOf.get(server)?.answers ?? [];
  return [...answers].some((answer) =>
    answer.writableEnded && !answer.writableFinished
  );
}

/** Ends the connections on which no request is under way. */
function closeUnused(server: Server): void {
  if (!isBeingTaken(server)) {
    // It counts a connection as idle whose answer waits for its caller.
    server.closeIdleConnections();
  }
  // It does not count these as idle.
  for (const socket of connectionsOf.get(server)?.withoutRequest ?? []) {
    socket.destroy();
  }
}

/** Longest time for which a stop accepts what waits, in milliseconds. */
const ACCEPT_MS = 500;

/** Calls `done` once no connection waits to be accepted; a poll accepts one. */
function acceptWaiting(server: Server, done: () => void): void {
  const until = performance.now() + ACCEPT_MS;
  function accepted(): number {
    return connectionsOf.get(server)?.accepted ?? 0;
  }
  function poll(before: number): void {
    setImmediate(() => {
      const now = accepted();
      if (now === before || performance.now() > until) {
        done();
      } else {
        poll(now);
      }
    });
  }
  // The first poll may be under way already.
  setImmediate(() => poll(accepted()));
}

/**
 * Stops listening, and resolves once every connection has ended. Connections
 * that wait are accepted first, since the kernel would reset them. Requests
 * under way are answered, and so is one that an accepted connection brings
 * soon; whoever sends one later finds the connection closed.
 */
export function closeHttp(server: Server): Promise<void> {
  return new Promise((resolve) => {
    acceptWaiting(server, () => {
      // The HTTP server's own close would cut connections that seem idle.
      NetServer.prototype.close.call(server, () => {
        clearInterval(closing);
        resolve();
      });
      const closing = setInterval(() => {
        // What has come meanwhile is read before anything is closed.
        setImmediate(closeUnused, server);
      }, FIRST_REQUEST_MS);
    });
  });
}

/** Closes after an early answer: what is left of a body may have no end. */
function closeIfUnread(response: ServerResponse): void {
  const { complete, headers } = response.req;
  const hasBody = headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  if (hasBody && !complete) {
    response.setHeader("connection", "close");
  }
}

/** Sends a JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  const text = JSON.stringify(value, null, 2) + "\n";
  closeIfUnread(response);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends a plain text answer. */
export function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  closeIfUnread(response);
  response.writeHead(status, {
    "content-type": "text/plain; version=0.0.4",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
