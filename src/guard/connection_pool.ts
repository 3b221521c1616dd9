/**
 * Pool of connections to one backend server, for the runtime's HTTP client.
 * Each connection carries one request at a time. The most recently used one is
 * reused first, so that the others reach their idle timeout and are closed.
 * @module
 */
import { performance } from "node:perf_hooks";
import { Agent, type ClientRequest } from "node:http";
import { connect, type Socket } from "node:net";
import { splitAddress } from "../network/channel.ts";

/** Options of {@link ConnectionPool}. */
export interface ConnectionPoolOptions {
  /** `ip:port` of the backend server. */
  address: string;
  /** Maximum number of open connections. */
  connections: number;
  connectTimeoutMs: number;
  /** Idle time after which a connection is closed if its server names none. */
  idleMs: number;
  /**
   * Maximum number of bytes that a connection may receive between two calls of
   * `noteProgress` for it. Beyond that, or if it receives bytes while idle, it
   * is destroyed with the error that `createExcessError` returns.
   */
  maxNonBodyBytes: number;
  createExcessError: () => Error;
}

/** State of a connection. */
export interface ConnectionState {
  /** Whether the connection was established; if not, nothing was sent on it. */
  connected: boolean;
  /** Whether it was reset although the runtime reported an ordinary end. */
  wasReset: boolean;
  /** Idle time after which it is closed. */
  idleMs: number;
  idleSince: number;
  /** Whether a request is in flight on it. */
  busy: boolean;
  /** Number of requests that were sent on it. */
  requests: number;
  /** Whether it is closed after the request in flight. */
  retired: boolean;
  /**
   * Bytes read when a head, a chunk or the end of an answer was last parsed.
   */
  bytesAtProgress: number;
}

/** Error code of a connection that was not established in time. */
export const CONNECT_TIMEOUT = "CONNECT_TIMEOUT";

/** Pool of connections to one backend server. */
export class ConnectionPool extends Agent {
  readonly #options: ConnectionPoolOptions;
  readonly #endpoint: { host: string; port: number };
  readonly #states = new WeakMap<Socket, ConnectionState>();
  readonly #waiting: ClientRequest[] = [];
  #idle: Socket[] = [];
  #open = 0;
  #sweepScheduled = false;
  #closed = false;

  constructor(options: ConnectionPoolOptions) {
    super({ keepAlive: true });
    this.#options = options;
    this.#endpoint = splitAddress(options.address);
  }

  /** Assigns a connection to a request; called by the runtime's client. */
  addRequest(request: ClientRequest): void {
    const socket = this.#takeIdle();
    if (socket) {
      this.#assign(socket, request);
    } else if (this.#open < this.#options.connections) {
      this.#assign(this.#connect(), request);
    } else {
      this.#waiting.push(request);
    }
  }

  /** Returns the state of a request's connection, once it has one. */
  getState(request: ClientRequest): ConnectionState | undefined {
    return request.socket ? this.#states.get(request.socket) : undefined;
  }

  /** Records that a head, a chunk or the end of an answer was parsed. */
  noteProgress(request: ClientRequest): void {
    const { socket } = request;
    const state = socket && this.#states.get(socket);
    if (state) {
      state.bytesAtProgress = socket.bytesRead;
    }
  }

  /** Sets the idle timeout of a connection, if the server names one. */
  setIdleTimeout(socket: Socket, idleMs: number | undefined): void {
    const state = this.#states.get(socket);
    if (state && idleMs !== undefined) {
      state.idleMs = idleMs;
    }
  }

  /** Whether a connection has carried a request before the one in flight. */
  wasUsedBefore(socket: Socket): boolean {
    return (this.#states.get(socket)?.requests ?? 0) > 1;
  }

  /** Closes a connection once its request in flight has ended. */
  retire(socket: Socket): void {
    const state = this.#states.get(socket);
    if (state) {
      state.retired = true;
    }
  }

  /** Closes idle connections now and busy ones once they become idle. */
  close(): void {
    this.#closed = true;
    const idle = this.#idle;
    this.#idle = [];
    idle.forEach((socket) => socket.destroy());
  }

  #takeIdle(): Socket | undefined {
    while (this.#idle.length > 0) {
      const socket = this.#idle.pop()!;
      if (
        !this.#isExpired(socket) && socket.writable && !socket.readableEnded
      ) {
        return socket;
      }
      socket.destroy();
    }
    return undefined;
  }

  #isExpired(socket: Socket): boolean {
    const { idleSince, idleMs } = this.#states.get(socket)!;
    return performance.now() - idleSince >= idleMs;
  }

  #assign(socket: Socket, request: ClientRequest): void {
    const state = this.#states.get(socket)!;
    state.busy = true;
    state.requests++;
    state.idleMs = this.#options.idleMs;
    state.bytesAtProgress = socket.bytesRead;
    request.onSocket(socket);
  }

  #connect(): Socket {
    this.#open++;
    const { connectTimeoutMs } = this.#options;
    const socket = connect({ ...this.#endpoint, noDelay: true });
    const state: ConnectionState = {
      connected: false,
      wasReset: false,
      idleMs: this.#options.idleMs,
      idleSince: 0,
      busy: false,
      requests: 0,
      retired: false,
      bytesAtProgress: 0,
    };
    this.#states.set(socket, state);
    const timeout = setTimeout(() =>
      // After a stall of this process the timer fires before the socket's
      // events are read, so a connection may already be established.
      // `setImmediate` lets them be read first.
      setImmediate(() => {
        if (socket.connecting) {
          const error = new Error(`not connected in ${connectTimeoutMs} ms`);
          socket.destroy(Object.assign(error, { code: CONNECT_TIMEOUT }));
        }
      }), connectTimeoutMs);
    socket.once("connect", () => {
      clearTimeout(timeout);
      state.connected = true;
    });
    socket.on("data", (bytes) => this.#checkNonBodyBytes(socket, bytes));
    socket.once("end", () => {
      // An `end` event on a socket without a peer address was a reset that
      // arrived together with the last bytes.
      state.wasReset = socket.remoteAddress === undefined;
    });
    // The HTTP client reports errors of a socket to the request on it.
    socket.on("error", () => {});
    socket.on("free", () => this.#release(socket));
    socket.once("close", () => {
      clearTimeout(timeout);
      this.#remove(socket);
    });
    return socket;
  }

  /** Destroys a connection that receives too many bytes outside of bodies. */
  #checkNonBodyBytes(socket: Socket, bytes: Buffer): void {
    const { busy, bytesAtProgress } = this.#states.get(socket)!;
    const {
      maxNonBodyBytes,
      createExcessError,
    } = this.#options;
    // This chunk is not parsed yet; all earlier bytes are.
    const parsed = socket.bytesRead - bytes.length;
    if (!busy || parsed - bytesAtProgress > maxNonBodyBytes) {
      socket.destroy(createExcessError());
    }
  }

  #release(socket: Socket): void {
    const state = this.#states.get(socket)!;
    state.busy = false;
    if (socket.destroyed) {
      return;
    }
    if (state.retired) {
      socket.destroy();
      return;
    }
    const next = this.#waiting.shift();
    if (next) {
      this.#assign(socket, next);
      return;
    }
    if (this.#closed) {
      socket.destroy();
      return;
    }
    state.idleSince = performance.now();
    this.#idle.push(socket);
    this.#scheduleSweep();
  }

  #remove(socket: Socket): void {
    this.#open--;
    const index = this.#idle.indexOf(socket);
    if (index >= 0) {
      this.#idle.splice(index, 1);
    }
    const next = this.#waiting.shift();
    if (next) {
      this.#assign(this.#connect(), next);
    }
  }

  /**
   * Closes connections that have passed their idle timeout. One timer serves
   * all connections.
   */
  #scheduleSweep(): void {
    if (this.#sweepScheduled) {
      return;
    }
    this.#sweepScheduled = true;
    setTimeout(() => {
      this.#sweepScheduled = false;
      this.#idle.filter((socket) => this.#isExpired(socket))
        .forEach((socket) => socket.destroy());
      if (this.#idle.length > 0) {
        this.#scheduleSweep();
      }
    }, this.#options.idleMs).unref();
  }
}
