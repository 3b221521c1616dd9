/**
 * Connections to one backend server, for the runtime's HTTP client. Each carries
 * one request at a time, and the one that was used last is used next, so that
 * the others can grow old and end.
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
  /** Connections that may be open at once. */
  connections: number;
  connectTimeoutMs: number;
  /** Idle time of a connection whose server names none, in milliseconds. */
  idleMs: number;
  /**
   * Bytes that a connection may bring beside the parts of an answer; one that
   * brings more is destroyed with the error that `excess` returns.
   */
  strayBytes: number;
  excess: () => Error;
}

/** How a connection fares; kept for each socket of a pool. */
export interface ConnectionState {
  /** Whether it came about at all: if not, nothing was sent on it. */
  connected: boolean;
  /** Whether its end was a reset, of which the runtime tells only an end. */
  wasReset: boolean;
  /** Time for which it may stay idle, in milliseconds. */
  idleMs: number;
  idleSince: number;
  /** Whether a request is under way on it. */
  busy: boolean;
  /** Bytes read up to the last part of an answer. */
  bytesAtProgress: number;
}

/** Error code of a connection that did not come about in time. */
export const CONNECT_TIMEOUT = "CONNECT_TIMEOUT";

/** Connections to one backend server. */
export class ConnectionPool extends Agent {
  readonly #options: ConnectionPoolOptions;
  readonly #at: { host: string; port: number };
  readonly #states = new WeakMap<Socket, ConnectionState>();
  readonly #waiting: ClientRequest[] = [];
  #idle: Socket[] = [];
  #open = 0;
  #sweeping = false;
  #closed = false;

  constructor(options: ConnectionPoolOptions) {
    super({ keepAlive: true });
    this.#options = options;
    this.#at = splitAddress(options.address);
  }

  /** Called by the runtime's client: gives a request its connection. */
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

  /** Returns how the connection of a request fares, once it has one. */
  stateOf(request: ClientRequest): ConnectionState | undefined {
    return request.socket ? this.#states.get(request.socket) : undefined;
  }

  /** A part of an answer has come on a request's connection. */
  noteProgress(request: ClientRequest): void {
    const { socket } = request;
    const state = socket && this.#states.get(socket);
    if (state) {
      state.bytesAtProgress = socket.bytesRead;
    }
  }

  /** A server names the time for which it keeps a connection idle, in ms. */
  keepFor(socket: Socket, idleMs: number | undefined): void {
    const state = this.#states.get(socket);
    if (state && idleMs !== undefined) {
      state.idleMs = idleMs;
    }
  }

  /** Ends idle connections, and the others as they become idle. */
  close(): void {
    this.#closed = true;
    const idle = this.#idle;
    this.#idle = [];
    idle.forEach((socket) => socket.destroy());
  }

  #takeIdle(): Socket | undefined {
    while (this.#idle.length > 0) {
      const socket = this.#idle.pop()!;
      if (!this.#isOld(socket) && socket.writable && !socket.readableEnded) {
        return socket;
      }
      socket.destroy();
    }
    return undefined;
  }

  #isOld(socket: Socket): boolean {
    const { idleSince, idleMs } = this.#states.get(socket)!;
    return performance.now() - idleSince >= idleMs;
  }

  #assign(socket: Socket, request: ClientRequest): void {
    const state = this.#states.get(socket)!;
    state.busy = true;
    state.idleMs = this.#options.idleMs;
    state.bytesAtProgress = socket.bytesRead;
    request.onSocket(socket);
  }

  #connect(): Socket {
    this.#open++;
    const { connectTimeoutMs } = this.#options;
    const socket = connect({ ...this.#at, noDelay: true });
    const state: ConnectionState = {
      connected: false,
      wasReset: false,
      idleMs: this.#options.idleMs,
      idleSince: 0,
      busy: false,
      bytesAtProgress: 0,
    };
    this.#states.set(socket, state);
    const timeout = setTimeout(() =>
      // If this process was held up, the connection may be there by now.
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
    socket.on("data", (bytes) => this.#checkStray(socket, bytes));
    socket.once("end", () => {
      // An end whose peer is gone was a reset that came with the last bytes.
      state.wasReset = socket.remoteAddress === undefined;
    });
    // Who has a request on it hears of an error by the client.
    socket.on("error", () => {});
    socket.on("free", () => this.#release(socket));
    socket.once("close", () => {
      clearTimeout(timeout);
      this.#forget(socket);
    });
    return socket;
  }

  /** Destroys a connection that brings too much beside answers. */
  #checkStray(socket: Socket, bytes: Buffer): void {
    const { busy, bytesAtProgress } = this.#states.get(socket)!;
    const { strayBytes, excess } = this.#options;
    // These bytes are parsed next; the ones before were.
    const parsed = socket.bytesRead - bytes.length;
    if (!busy || parsed - bytesAtProgress > strayBytes) {
      socket.destroy(excess());
    }
  }

  #release(socket: Socket): void {
    const state = this.#states.get(socket)!;
    state.busy = false;
    if (socket.destroyed) {
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
    this.#sweepLater();
  }

  #forget(socket: Socket): void {
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

  /** Ends connections that have been idle for too long, in one pass for all. */
  #sweepLater(): void {
    if (this.#sweeping) {
      return;
    }
    this.#sweeping = true;
    setTimeout(() => {
      this.#sweeping = false;
      this.#idle.filter((socket) => this.#isOld(socket))
        .forEach((socket) => socket.destroy());
      if (this.#idle.length > 0) {
        this.#sweepLater();
      }
    }, this.#options.idleMs).unref();
  }
}
