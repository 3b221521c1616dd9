/**
 * The HTTP server for callers: it turns requests into calls of the ingress and
 * replies into HTTP responses. When a response is interrupted, its connection
 * is closed, so that the caller does not mistake it for a complete one.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { removeHopByHopHeaders } from "../core/headers.ts";
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import { errorFields, StepError } from "../core/errors.ts";
import { createRateLimitedLog } from "../core/log_limit.ts";
import type { Logger } from "../core/logger.ts";
import type { Random } from "../core/random.ts";
import { type Call, notRunReply, type Reply } from "../ingress/call.ts";
import type { Node } from "../node/node.ts";
import { estimateArrival, type EventLoopLag } from "../time/event_loop_lag.ts";
import { sleep, type Timer } from "../time/timer.ts";
import { readBody } from "./body.ts";
import { type ClientBudget, createClientBudget } from "./client_budget.ts";
import { type CallerDialect, DefaultCallerDialect } from "./dialect.ts";
import { parseRawHeaders } from "./raw_headers.ts";
import { connectionOfSocket } from "./connections.ts";
import {
  abortResponse,
  closeHttp,
  createHttpServer,
  listenHttp,
  NO_ROOM_RETRY_AFTER_MS,
  openConnections,
  sendText,
} from "./server.ts";
import { waitForDrain } from "./wait_for_drain.ts";

/** Path of a node's readiness check. */
export const HEALTH_PATH = "/_mustardcross/health";
const MAX_MALFORMED_LOG_LINES_PER_S = 5;
/** Clients that leave in the middle of a body may be many. */
const MAX_FAILED_LOG_LINES_PER_S = 20;
const MAX_DISCARDED_BYTES = 16 * 1024 * 1024;
const BODILESS_STATUSES = new Set([204, 304]);

/** The HTTP server of a node for callers. */
export interface CallerServer {
  /** Starts accepting requests and resolves with the bound address. */
  listen(address: string): Promise<string>;
  /**
   * Stops gracefully. For `lingerMs` the readiness check fails and responses
   * ask callers to close their connections; then the server stops listening
   * and waits for the requests in flight.
   */
  stop(lingerMs: number): Promise<void>;
  /** Number of open connections from callers. */
  readonly connections: number;
}

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
  node: Node;
  timer: Timer;
  random: Random;
  logger: Logger;
  lag: EventLoopLag;
  /** Header names towards callers; the product's own by default. */
  dialect?: CallerDialect;
  clients?: ClientBudget;
}

/** Creates the HTTP server of a node for callers. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const { node, timer, random, logger, lag } = options;
  const { clients = createClientBudget() } = options;
  const dialect = options.dialect ?? new DefaultCallerDialect();
  /** By connection, a cancellation that fires when the connection ends. */
  const disconnects = new WeakMap<Socket, Cancellation>();
  const malformedLog = createRateLimitedLog({
    timer,
    logger,
    perSecond: MAX_MALFORMED_LOG_LINES_PER_S,
  });
  const failedLog = createRateLimitedLog({
    timer,
    logger,
    perSecond: MAX_FAILED_LOG_LINES_PER_S,
    level: "warn",
  });
  let stopping = false;

  async function readCall(
    request: IncomingMessage,
    { signal, arrivedAt }: { signal: Cancellation; arrivedAt?: number },
  ): Promise<Call> {
    const metadata = dialect.read(
      removeHopByHopHeaders(parseRawHeaders(request.rawHeaders)),
    );
    const suppliedId = metadata.requestId;
    const requestId =
      suppliedId !== undefined && /^[\w.-]{1,64}$/.test(suppliedId)
        ? suppliedId
        : random.identifier();
    const contentLength = request.headers["content-length"];
    return {
      requestId,
      method: request.method ?? "GET",
      host: request.headers.host ?? "",
      path: request.url ?? "/",
      timeoutMs: metadata.timeoutMs,
      arrivedAt,
      headers: metadata.headers,
      body: await readBody(request),
      bodyLength: contentLength === undefined
        ? undefined
        : Number(contentLength),
      signal,
    };
  }

  function writeHead(
    response: ServerResponse,
    call: Call,
    reply: Reply,
  ): void {
    const head = dialect.head(reply, call.requestId);
    const isBuffered = reply.body instanceof Uint8Array;
    const hasNoBody = call.method === "HEAD" ||
      BODILESS_STATUSES.has(head.status);
    const headers = head.headers.filter(([name]) =>
      name !== "content-length" || !isBuffered || hasNoBody
    );
    if (isBuffered && !hasNoBody) {
      const { length } = reply.body as Uint8Array;
      headers.push(["content-length", String(length)]);
    }
    const connection = connectionOfSocket(response.req.socket);
    // With later requests on the connection, it stays open for them.
    if (stopping && connection?.latest?.response === response) {
      // No response can follow `connection: close`.
      connection.refuseRequests();
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
        await waitForDrain(response);
      }
    }
    response.end();
  }

  async function handle(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const canceller = createCanceller();
    const removeListener = disconnects.get(request.socket)?.onCancel(
      canceller.cancel,
    );
    response.once("close", () => {
      removeListener?.();
      if (!response.writableFinished) {
        canceller.cancel();
      }
    });
    const { lagging, maxUnreadMs } = lag;
    const arrivedAt = lagging
      ? estimateArrival(timer.now(), maxUnreadMs)
      : undefined;
    const call = await readCall(request, { signal: canceller, arrivedAt });
    // The caller may have disconnected already: when the event loop lags, the
    // close of a connection is reported later than the request before it.
    if (lagging) {
      await lag.waitForTurn(() => canceller.cancelled);
    }
    if (canceller.cancelled) {
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
      // A caller that reads slowly would learn of the cut only once it reads on.
      reply.cut?.onCancel(() => abortResponse(response));
      await writeStream(response, reply.body);
    }
    if (!request.complete && !(call.body instanceof Uint8Array)) {
      await discard(call.body, request);
    }
  }

  /**
   * Reads and discards the rest of a request body after an early response.
   * Otherwise the caller could not finish sending the body, nor send the next
   * request on the connection.
   */
  async function discard(
    body: AsyncIterable<Uint8Array>,
    request: IncomingMessage,
  ): Promise<void> {
    let size = 0;
    try {
      for await (const part of body) {
        size += part.length;
        if (size > MAX_DISCARDED_BYTES) {
          throw new StepError(
            "caller.discard",
            "the unread rest of the request body exceeds the limit",
          );
        }
      }
    } catch (error) {
      // A caller that leaves meanwhile has its response already.
      if (!request.destroyed) {
        throw error;
      }
    }
  }

  /** Refuses a request on a connection for which there is no room. */
  function refuse(request: IncomingMessage, response: ServerResponse): void {
    const reply = notRunReply("overloaded", {
      attempts: 0,
      retryAfterMs: NO_ROOM_RETRY_AFTER_MS,
    });
    const { requestId = "" } = dialect.read(
      parseRawHeaders(request.rawHeaders),
    );
    const { status, headers } = dialect.head(reply, requestId);
    const body = reply.body as Uint8Array;
    headers.forEach(([name, value]) => response.appendHeader(name, value));
    response.setHeader("content-length", body.length);
    response.writeHead(status);
    response.end(body);
    node.metrics.count("connections_refused");
  }

  function sendHealth(response: ServerResponse): void {
    const ready = node.ready && !stopping;
    sendText(response, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
  }

  function noteMalformed(code: string, socket: Socket): void {
    node.metrics.count("malformed_requests");
    malformedLog.write("caller.malformed_request", {
      peer: `${socket.remoteAddress}:${socket.remotePort}`,
      code,
    });
  }

  const server = createHttpServer((request, response) => {
    if (request.url === HEALTH_PATH) {
      sendHealth(response);
      return;
    }
    handle(request, response).catch((error) => {
      failedLog.write("caller.request_failed", errorFields(error));
      abortResponse(response);
    });
  }, {
    onMalformed: noteMalformed,
    refuse,
    clients,
    maxConnections: clients.limits.max_connections,
  });

  server.on("connection", (socket) => {
    lag.recordAccept();
    // The events of the socket are used because those of its requests and
    // responses follow two polls of the event loop later.
    const disconnect = createCanceller();
    socket.once("end", disconnect.cancel);
    socket.once("close", disconnect.cancel);
    disconnects.set(socket, disconnect);
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
