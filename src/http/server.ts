/**
 * HTTP servers with limits on slow and oversized requests.
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { Server as NetServer } from "node:net";
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
  return createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    headersTimeout: HEADERS_TIMEOUT_MS,
    requestTimeout: REQUEST_TIMEOUT_MS,
    connectionsCheckingInterval: CHECK_INTERVAL_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
    insecureHTTPParser: false,
    noDelay: true,
  }, handler);
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

/**
 * Stops listening, and resolves once every connection has ended. A connection
 * that was accepted last may still bring a request, which is answered.
 */
export function closeHttp(server: Server): Promise<void> {
  return new Promise((resolve) => {
    // Right after a poll no accepted connection waits in the kernel's queue.
    setImmediate(() => {
      // The HTTP server's own close would cut connections that seem idle.
      NetServer.prototype.close.call(server, () => resolve());
      setTimeout(() => server.closeIdleConnections(), FIRST_REQUEST_MS);
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
