/**
 * Callers' HTTP: turns requests into calls of the ingress, and replies into
 * answers. A cut answer ends the connection, so that it never looks whole.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { endToEnd } from "../core/headers.ts";
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { errorFields, StepError } from "../core/errors.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import type { Call, Reply } from "../ingress/call.ts";
import type { Node } from "../node/node.ts";
import { arrivalOf, type EventLoopLag } from "../time/event_loop_lag.ts";
import { sleep, type Timer } from "../time/timer.ts";
import { readBody } from "./body.ts";
import { type CallerDialect, PlainCallerDialect } from "./dialect.ts";
import { drained } from "./drained.ts";
import { headerListOf } from "./raw_headers.ts";
import {
  closeHttp,
  createHttpServer,
  listenHttp,
  openConnections,
  sendText,
} from "./server.ts";

/** Path at which a node says whether it takes calls. */
export const HEALTH_PATH = "/_mustardcross/health";
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;
const BODILESS_STATUSES = new Set([204, 304]);

/** The HTTP front of a node. */
export interface CallerFront {
  /** Starts to take calls; returns the bound address. */
  listen(address: string): Promise<string>;
  /**
   * Stops gracefully: asks callers to connect elsewhere, lets requests in
   * flight end, and closes.
   */
  stop(lingerMs: number): Promise<void>;
  /** Connections of callers that are open. */
  readonly connections: number;
}

/** Options of {@link createCallerFront}. */
export interface CallerFrontOptions {
  node: Node;
  timer: Timer;
  random: Random;
  logger: Logger;
  lag: EventLoopLag;
  /** How callers' HTTP names things; the product's own by default. */
  dialect?: CallerDialect;
}

/** Creates the HTTP front of a node. */
export function createCallerFront(options: CallerFrontOptions): CallerFront {
  const { node, timer, random, logger, lag } = options;
  const dialect = options.dialect ?? new PlainCallerDialect();
  /** Whether the other end of a connection has ended it. */
  const ended = new WeakMap<Socket, Cancellation>();
  /** Answers that each connection still waits for. */
  const awaited = new WeakMap<Socket, number>();
  /** Connections whose caller was told that they end. */
  const ending = new WeakSet<Socket>();
  let stopping = false;

  function countAwaited(socket: Socket, change: number): void {
    awaited.set(socket, (awaited.get(socket) ?? 0) + change);
  }

  async function callOf(
    request: IncomingMessage,
    { signal, arrivedAt }: { signal: Cancellation; arrivedAt?: number },
  ): Promise<Call> {
    const notes = dialect.read(endToEnd(headerListOf(request.rawHeaders)));
    const given = notes.requestId;
    const requestId = given !== undefined && /^[\w.-]{1,64}$/.test(given)
      ? given
      : random.identifier();
    const declared = request.headers["content-length"];
    return {
      requestId,
      method: request.method ?? "GET",
      host: request.headers.host ?? "",
      path: request.url ?? "/",
      timeoutMs: notes.timeoutMs,
      arrivedAt,
      headers: notes.headers,
      body: await readBody(request),
      bodyLength: declared === undefined ? undefined : Number(declared),
      signal,
    };
  }

  function writeHead(
    response: ServerResponse,
    call: Call,
    reply: Reply,
  ): void {
    const head = dialect.head(reply, call.requestId);
    const whole = reply.body instanceof Uint8Array;
    const bodiless = call.method === "HEAD" ||
      BODILESS_STATUSES.has(head.status);
    const headers = head.headers.filter(([name]) =>
      name !== "content-length" || !whole || bodiless
    );
    if (whole && !bodiless) {
      const { length } = reply.body as Uint8Array;
      headers.push(["content-length", String(length)]);
    }
    const { socket } = response.req;
    // Others that came on it are answered first.
    if (stopping && awaited.get(socket) === 1) {
      ending.add(socket);
      headers.push(["connection", "close"]);
    }
    response.writeHead(head.status, headers.flat());
  }

  async function writeStream(
    response: ServerResponse,
    body: AsyncIterable<Uint8Array>,
  ): Promise<void> {
    for await (const bytes of body) {
      if (response.destroyed) {
        return;
      }
      if (!response.write(bytes)) {
        await drained(response);
      }
    }
    response.end();
  }

  async function answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const leaving = createCanceller();
    const release = ended.get(request.socket)?.onCancel(leaving.cancel);
    response.once("close", () => {
      release?.();
      if (!response.writableFinished) {
        leaving.cancel();
      }
    });
    const { late, unreadMs } = lag;
    const arrivedAt = late ? arrivalOf(timer.now(), unreadMs) : undefined;
    const call = await callOf(request, { signal: leaving, arrivedAt });
    if (late) {
      await lag.caughtUp(() => leaving.cancelled);
    }
    if (leaving.cancelled) {
      node.metrics.count("left_unread");
      return;
    }
    const reply = await node.ingress.handle(call);
    if (response.destroyed) {
      return;
    }
    writeHead(response, call, reply);
    if (reply.body instanceof Uint8Array) {
      response.end(reply.body);
    } else {
      await writeStream(response, reply.body);
    }
    if (!request.complete && !(call.body instanceof Uint8Array)) {
      await discard(call.body);
    }
  }

  /**
   * Reads on what an early answer left unread: the caller would wait for ever
   * to send it, and its next request behind it.
   */
  async function discard(rest: AsyncIterable<Uint8Array>): Promise<void> {
    let size = 0;
    for await (const part of rest) {
      size += part.length;
      if (size > MAX_DISCARDED_BYTES) {
        throw new StepError("caller.discard", "the rest of a body is too long");
      }
    }
  }

  function health(response: ServerResponse): void {
    const ready = node.ready && !stopping;
    sendText(response, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  const server = createHttpServer((request, response) => {
    if (request.url === HEALTH_PATH) {
      health(response);
      return;
    }
    const { socket } = request;
    if (ending.has(socket)) {
      // It would not be answered, so it does not run.
      return;
    }
    countAwaited(socket, 1);
    response.once("close", () => countAwaited(socket, -1));
    answer(request, response).catch((error) => {
      logger.warn("caller.cut", errorFields(error));
      // An answer that was not whole must not look like one.
      response.destroy();
      request.destroy();
    });
  });

  server.on("connection", (socket) => {
    lag.noteAccepted();
    // Requests and responses hear of it two polls later.
    const end = createCanceller();
    socket.once("end", end.cancel);
    socket.once("close", end.cancel);
    ended.set(socket, end);
  });

  node.directory.onChange(() => {
    const limits = node.directory.global?.limits.callers;
    if (limits) {
      server.keepAliveTimeout = limits.idle_ms;
      server.headersTimeout = limits.header_ms;
    }
  });

  return {
    listen: (address) => listenHttp(server, address),
    async stop(lingerMs) {
      stopping = true;
      await sleep(timer, lingerMs);
      await closeHttp(server);
    },
    get connections() {
      return openConnections(server);
    },
  };
}
