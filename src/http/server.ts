/**
 * HTTP servers with limits on slow and oversized requests, and with a graceful
 * shutdown.
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import { StepError } from "../core/errors.ts";
import { splitAddress } from "../network/channel.ts";
import {
  type Connection,
  connectionOfSocket,
  connectionsOfServer,
  trackConnections,
} from "./connections.ts";
import { type ClientBudget, createClientBudget } from "./client_budget.ts";
import { handleInputErrors } from "./input_errors.ts";
import { limitIntake } from "./request_intake.ts";

const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const CHECK_INTERVAL_MS = 1_000;
const KEEP_ALIVE_TIMEOUT_MS = 30_000;

/** Responds to one request and handles its own errors. */
export type HttpHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Options of {@link createHttpServer}. */
export interface HttpServerOptions {
  /**
   * Called once for a connection on which a malformed request came, or one that
   * did not end in time, with the code of the error.
   */
  onMalformed?: (code: string, socket: Socket) => void;
  /** What the servers of the process may hold; one of its own by default. */
  clients?: ClientBudget;
  /**
   * Open connections beyond which one is closed for a new one, or the first
   * request of the new one is refused; by default the limit of the ports that are
   * not for callers.
   */
  maxConnections?: number;
  /** Refuses a request for whose connection there is no room; 503 by default. */
  refuse?: HttpHandler;
}

/** Time after which a client is to come back for whose connection there was no room. */
export const NO_ROOM_RETRY_AFTER_MS = 1_000;
const MS_PER_SECOND = 1_000;

function refuseWithoutRoom(
  _request: IncomingMessage,
  response: ServerResponse,
): void {
  response.setHeader("retry-after", NO_ROOM_RETRY_AFTER_MS / MS_PER_SECOND);
  sendText(response, 503, "not run: too many connections\n");
}

/**
 * Returns a handler that refuses requests on connections for which there is no
 * room, and closes these after the response.
 */
function refuseSurplus(
  handler: HttpHandler,
  { refuse, admit }: {
    refuse: HttpHandler;
    admit: (connection: Connection) => boolean;
  },
): HttpHandler {
  return (request, response) => {
    const connection = connectionOfSocket(request.socket);
    if (!connection?.surplus || admit(connection)) {
      handler(request, response);
      return;
    }
    connection.refuseRequests();
    connection.afterResponses(() => connection.socket.destroySoon());
    response.setHeader("connection", "close");
    refuse(request, response);
  };
}

/** Creates an HTTP server that does not listen yet. */
export function createHttpServer(
  handler: HttpHandler,
  options: HttpServerOptions = {},
): Server {
  const {
    onMalformed = () => {},
    clients = createClientBudget(),
    maxConnections = clients.limits.max_other_connections,
    refuse = refuseWithoutRoom,
  } = options;
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    insecureHTTPParser: false,
    noDelay: true,
  });
  const admit = (connection: Connection) => intake.admit(connection);
  trackConnections(server, refuseSurplus(handler, { refuse, admit }));
  handleInputErrors(server, onMalformed);
  const intake = limitIntake(server, { budget: clients, maxConnections });
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

/**
 * Interval at which a stopping server closes unused connections. New
 * connections have about that long to send their first request.
 */
const FIRST_REQUEST_TIMEOUT_MS = 500;

/** Returns the number of open connections of a server. */
export function openConnections(server: Server): number {
  return connectionsOfServer(server).open.size;
}

/** Closes the connections that have received requests and handle none. */
function closeIdleConnections(server: Server): void {
  for (const { socket, idle, unused } of connectionsOfServer(server).open) {
    if (idle && !unused) {
      socket.destroy();
    }
  }
}

/** Closes the connections that have received no request. */
function closeUnusedConnections(server: Server): void {
  for (const { socket, unused } of connectionsOfServer(server).open) {
    if (unused) {
      socket.destroy();
    }
  }
}

/**
 * Closes each connection after the responses that are pending on it. Otherwise
 * a client that pipelines could send requests for as long as the server stops.
 */
function closeAfterResponses(server: Server): void {
  for (const connection of connectionsOfServer(server).open) {
    if (!connection.idle && !connection.refusing) {
      connection.refuseRequests();
      connection.afterResponses(() => connection.socket.destroySoon());
    }
  }
}

/**
 * Connections that the kernel may hold in the accept queue. A limit on the time
 * would reset some of them on a VM whose processor is busy.
 */
const ACCEPT_BACKLOG = 511;

/**
 * Calls `done` once the accept queue is empty. A poll of the event loop accepts
 * one connection, so the queue is empty when a poll has accepted none. Clients
 * that connect all the time do not put the end off for ever.
 */
function acceptQueuedConnections(server: Server, done: () => void): void {
  function acceptedCount(): number {
    return connectionsOfServer(server).accepted;
  }
  const limit = acceptedCount() + ACCEPT_BACKLOG;
  function poll(before: number): void {
    setImmediate(() => {
      const now = acceptedCount();
      if (now === before || now > limit) {
        done();
      } else {
        poll(now);
      }
    });
  }
  // The current poll may have begun already; the next one is the first to count.
  setImmediate(() => poll(acceptedCount()));
}

/**
 * Stops listening and resolves once every connection has closed. Connections in
 * the accept queue are accepted first, since the kernel would reset them.
 * Requests in flight get their response, and so does a first request that
 * arrives on a new connection shortly after. A client that sends a request
 * later, or behind one in flight, finds the connection closed.
 */
export function closeHttp(server: Server): Promise<void> {
  return new Promise((resolve) => {
    acceptQueuedConnections(server, () => {
      // http.Server.close() would also close connections that it counts as idle.
      NetServer.prototype.close.call(server, () => {
        clearInterval(closeTimer);
        resolve();
      });
      closeAfterResponses(server);
      // The next poll reads requests that have already arrived.
      setImmediate(closeIdleConnections, server);
      const closeTimer = setInterval(() => {
        setImmediate(() => {
          closeUnusedConnections(server);
          closeIdleConnections(server);
          closeAfterResponses(server);
        });
      }, FIRST_REQUEST_TIMEOUT_MS);
    });
  });
}

/** Whether the client takes the close of the connection for the end of a body. */
function endsWithConnection(response: ServerResponse): boolean {
  return response.req.httpVersion === "1.0" && response.headersSent;
}

/**
 * Closes the connection of a response that cannot be completed, so that a part
 * of it does not look whole. The responses before it are sent first.
 */
export function abortResponse(response: ServerResponse): void {
  const { socket } = response.req;
  const connection = connectionOfSocket(socket);
  if (!connection) {
    socket.destroy();
    return;
  }
  connection.refuseRequests();
  connection.afterResponses(() => {
    if (endsWithConnection(response)) {
      socket.resetAndDestroy();
    } else {
      socket.destroy();
    }
  }, response);
}

/**
 * Closes the connection after a response that precedes the end of the request
 * body, because the rest of the body may be endless.
 */
function closeIfBodyUnread(response: ServerResponse): void {
  const { complete, headers } = response.req;
  const hasBody = headers["transfer-encoding"] !== undefined ||
    Number(headers["content-length"] ?? 0) > 0;
  if (hasBody && !complete) {
    response.setHeader("connection", "close");
  }
}

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  sendJsonText(response, status, JSON.stringify(value, null, 2) + "\n");
}

/** Sends a JSON response that is already formatted. */
export function sendJsonText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  closeIfBodyUnread(response);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}

/** Sends a plain text response. */
export function sendText(
  response: ServerResponse,
  status: number,
  text: string,
): void {
  closeIfBodyUnread(response);
  response.writeHead(status, {
    "content-type": "text/plain; version=0.0.4",
    "content-length": Buffer.byteLength(text),
  });
  response.end(text);
}
