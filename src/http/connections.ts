/**
 * The open connections of an HTTP server, and the responses that are pending on
 * each. A client that pipelines has several; the runtime sends them in the order
 * of their requests.
 * @module
 */
import { performance } from "node:perf_hooks";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** An open connection of an HTTP server. */
export interface Connection {
  readonly socket: Socket;
  /** Whether no request has been received yet. */
  readonly unused: boolean;
  /** Whether no request is being received, and no response is pending. */
  readonly idle: boolean;
  /**
   * Time from the accept of the connection to its first request in milliseconds;
   * 0 before that.
   */
  readonly firstRequestDelayMs: number;
  /** Whether a request is the first one of the connection. */
  isFirst(request: IncomingMessage): boolean;
  /** Whether requests that arrive from now on are not handled. */
  readonly refusing: boolean;
  /** The latest request that is handled, and its response. */
  readonly latest: Exchange | undefined;
  /** Number of responses that are not sent yet. */
  readonly pending: number;
  /** Whether the body of the latest request is being received. */
  readonly receiving: boolean;
  /** Whether the server has no room for it: its first request is refused. */
  readonly surplus: boolean;
  /** Sets whether the server has no room for the connection. */
  setSurplus(surplus: boolean): void;
  /** Bytes of responses that the client's system has not taken yet. */
  readonly unsentBytes: number;
  /** Whether what the client sends from now on is of no use. */
  readonly discarding: boolean;
  /** Discards what the client sends from now on. */
  discardInput(): void;
  /** Sets the listener that is told by how much `pending` changes. */
  onPending(listener: (change: number) => void): void;
  /**
   * Ignores requests that arrive from now on. Whoever calls this also has the
   * connection closed after the pending responses.
   */
  refuseRequests(): void;
  /**
   * Calls `task` once the responses to all requests before that of `response`
   * are sent, or all responses without `response`. It is not called if the
   * connection closes first.
   */
  afterResponses(task: () => void, before?: ServerResponse): void;
}

/** A request and the response to it. */
export interface Exchange {
  request: IncomingMessage;
  response: ServerResponse;
}

/** The connections of one server. */
export interface Connections {
  /** Open connections. */
  readonly open: ReadonlySet<Connection>;
  /** Number of connections accepted so far. */
  readonly accepted: number;
}

/** A connection, as this module changes it. */
interface TrackedConnection extends Connection {
  /** Adds a request and its response. */
  add(exchange: Exchange): void;
  /** Called when the socket has closed: forgets its responses and waiting tasks. */
  drop(): void;
}

interface Waiting {
  task: () => void;
  before: ServerResponse | undefined;
}

const connectionOf = new WeakMap<Socket, TrackedConnection>();
const connectionsOf = new WeakMap<Server, Connections>();

function createConnection(socket: Socket): TrackedConnection {
  /** Responses that are not closed yet, in the order of their requests. */
  const pending = new Set<ServerResponse>();
  let waiting: Waiting[] = [];
  const acceptedAt = performance.now();
  let first: Exchange | undefined;
  let firstRequestDelayMs = 0;
  let latest: Exchange | undefined;
  let refusing = false;
  let surplus = false;
  let inputFailed = false;
  let notifyPending: (change: number) => void = () => {};

  function isReceiving(): boolean {
    return latest !== undefined && !latest.request.complete;
  }

  function isNext(before: ServerResponse | undefined): boolean {
    const [first] = pending;
    return first === undefined || first === before;
  }

  function runWaiting(): void {
    const due = waiting.filter(({ before }) => isNext(before));
    waiting = waiting.filter(({ before }) => !isNext(before));
    due.forEach(({ task }) => task());
  }

  return {
    socket,
    get unused() {
      return latest === undefined;
    },
    get idle() {
      return pending.size === 0 && !isReceiving();
    },
    get firstRequestDelayMs() {
      return firstRequestDelayMs;
    },
    isFirst: (request) => first?.request === request,
    get refusing() {
      return refusing;
    },
    get latest() {
      return latest;
    },
    get pending() {
      return pending.size;
    },
    get receiving() {
      return isReceiving();
    },
    get surplus() {
      return surplus;
    },
    setSurplus(next) {
      surplus = next;
    },
    get unsentBytes() {
      let bytes = socket.writableLength;
      let isFirst = true;
      for (const response of pending) {
        // The first one writes to the socket; the others wait for it.
        bytes += isFirst ? 0 : response.writableLength;
        isFirst = false;
      }
      return bytes;
    },
    get discarding() {
      return inputFailed || (refusing && !isReceiving());
    },
    discardInput() {
      inputFailed = true;
    },
    onPending(listener) {
      notifyPending = listener;
    },
    refuseRequests() {
      refusing = true;
    },
    afterResponses(task, before) {
      waiting.push({ task, before });
      runWaiting();
    },
    add(exchange) {
      if (!first) {
        first = exchange;
        firstRequestDelayMs = performance.now() - acceptedAt;
      }
      latest = exchange;
      const { response } = exchange;
      pending.add(response);
      notifyPending(1);
      response.once("close", () => {
        if (pending.delete(response)) {
          notifyPending(-1);
        }
        runWaiting();
      });
    },
    drop() {
      // The runtime does not close responses that wait behind another one.
      const dropped = pending.size;
      pending.clear();
      waiting = [];
      notifyPending(-dropped);
    },
  };
}

/**
 * Tracks the connections of a server, and passes on the requests that they may
 * handle to `handler`.
 */
export function trackConnections(
  server: Server,
  handler: (request: IncomingMessage, response: ServerResponse) => void,
): void {
  const open = new Set<Connection>();
  let accepted = 0;
  connectionsOf.set(server, {
    open,
    get accepted() {
      return accepted;
    },
  });
  server.on("connection", (socket: Socket) => {
    const connection = createConnection(socket);
    accepted++;
    open.add(connection);
    connectionOf.set(socket, connection);
    socket.once("close", () => {
      open.delete(connection);
      connection.drop();
    });
  });
  server.on("request", (request, response) => {
    const connection = connectionOf.get(request.socket);
    if (connection?.refusing) {
      return;
    }
    connection?.add({ request, response });
    handler(request, response);
  });
}

/** Returns the connections of a server. */
export function connectionsOfServer(server: Server): Connections {
  return connectionsOf.get(server) ?? { open: new Set(), accepted: 0 };
}

/**
 * Whether the client of a request has closed its connection, as far as the
 * event loop has read that; `EventLoopLag.waitForCloses` makes it current.
 */
export function hasDisconnected({ socket }: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}

/**
 * Returns for how long a request may have been on its way, in milliseconds: a
 * client that connects for a request sends it at once. It is 0 for later requests
 * of a connection, about which that does not tell anything.
 */
export function maxTransitMs(request: IncomingMessage): number {
  const connection = connectionOf.get(request.socket);
  return connection?.isFirst(request) ? connection.firstRequestDelayMs : 0;
}

/** Returns the connection of a socket; `undefined` for an untracked one. */
export function connectionOfSocket(socket: Socket): Connection | undefined {
  return connectionOf.get(socket);
}
