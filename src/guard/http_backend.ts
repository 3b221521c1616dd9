/**
 * Client of backend servers over HTTP/1.1. It uses the runtime's HTTP client,
 * which is compiled before a process starts. A parser in WebAssembly, as other
 * clients have, would be compiled while the process serves requests and would
 * take processor time from them.
 * @module
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { processBufferCollector } from "../core/buffer_collector.ts";
import { errorMessage } from "../core/errors.ts";
import { type HeaderList, headerValue } from "../core/headers.ts";
import { type BackendDialect, DefaultBackendDialect } from "../http/dialect.ts";
import { parseRawHeaders } from "../http/raw_headers.ts";
import { waitForDrain } from "../http/wait_for_drain.ts";
import { isConnectable } from "../network/channel.ts";
import { findMismatch } from "./answer_match.ts";
import {
  type Backend,
  BackendError,
  type BackendFactory,
  type BackendFailure,
  type BackendRequest,
  type StreamingBody,
} from "./backend.ts";
import { ConnectionPool } from "./connection_pool.ts";

/** Maximum size of an answer's head. */
const MAX_HEADER_BYTES = 16 * 1024;
/**
 * Maximum number of bytes that a connection may receive without a head or a
 * chunk of a body being complete: header fields, chunk framing, trailers and
 * the heads of interim (1xx) answers.
 */
const MAX_NON_BODY_BYTES = 2 * MAX_HEADER_BYTES;
/** Longest pause between two chunks of a long body. */
const BODY_TIMEOUT_MS = 30_000;
/** Idle time after which a connection is closed if its server names none. */
const DEFAULT_IDLE_TIMEOUT_MS = 400;
/**
 * How long before the server's own idle timeout a connection is closed, so that
 * no request is sent while the server closes it.
 */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const MS_PER_SECOND = 1_000;
/** Status with which a server refuses a request, by some services' settings. */
const UNAVAILABLE = 503;
/**
 * Lowest status of a final answer. The runtime's parser takes 000 to 099 and a
 * 101 without an upgrade for final answers, and keeps other interim ones back.
 */
const FIRST_FINAL_STATUS = 200;
/** Largest body that is read in one piece. */
const MAX_SHORT_BODY_BYTES = 32 * 1024;
/** Methods whose requests have a `content-length` even without a body. */
const METHODS_WITH_BODY = new Set(["POST", "PUT", "PATCH"]);
/**
 * The runtime's error codes for a head or a chunk extension that is too long.
 */
const OVERFLOW_ERROR_CODES = new Set([
  "HPE_HEADER_OVERFLOW",
  "HPE_CHUNK_EXTENSIONS_OVERFLOW",
]);
/** The runtime's error code for a body that is not as long as declared. */
const LENGTH_MISMATCH_CODE = "ERR_HTTP_CONTENT_LENGTH_MISMATCH";

/**
 * Returns the idle time in milliseconds that an answer names for its
 * connection, less the margin.
 */
function advertisedIdleMs(headers: HeaderList): number | undefined {
  const text = headerValue(headers, "keep-alive");
  const seconds = /timeout=(\d+)/.exec(text ?? "")?.[1];
  return seconds === undefined
    ? undefined
    : Math.max(0, Number(seconds) * MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS);
}

/** Whether an answer is short enough to be read in one piece. */
function isShort(headers: HeaderList): boolean {
  return Number(headerValue(headers, "content-length")) <= MAX_SHORT_BODY_BYTES;
}

/** Returns the defect of a status that no final answer has. */
function findStatusDefect(status: number): string | undefined {
  return status < FIRST_FINAL_STATUS
    ? `status ${status}, which no final answer has`
    : undefined;
}

/** Returns the headers that delimit the body for the backend server. */
function framingHeaders({ method, headers, body }: BackendRequest): HeaderList {
  if (headerValue(headers, "content-length") !== undefined) {
    return [];
  }
  if (body instanceof Uint8Array) {
    return [["content-length", String(body.length)]];
  }
  if (body) {
    return [["transfer-encoding", "chunked"]];
  }
  return METHODS_WITH_BODY.has(method) ? [["content-length", "0"]] : [];
}

/** Writes a body with backpressure: as fast as the server reads it. */
async function writeBody(
  clientRequest: ClientRequest,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  try {
    for await (const part of body) {
      if (clientRequest.destroyed) {
        return;
      }
      if (!clientRequest.write(part)) {
        await waitForDrain(clientRequest);
      }
    }
    clientRequest.end();
  } catch (error) {
    // A truncated body must not look complete to the server.
    clientRequest.destroy(error as Error);
  }
}

/** One request and its answer. */
interface Exchange {
  /** Resolves with the head of the answer; rejects with `BackendError`. */
  head: Promise<IncomingMessage>;
  /** Reads a short body in one piece. */
  readAll(answer: IncomingMessage): Promise<Uint8Array>;
  /** Reads a body in chunks, as they are received. */
  readChunks(answer: IncomingMessage): AsyncGenerator<Uint8Array>;
  /** Closes the connection, since its remaining bytes belong to no request. */
  destroy(): void;
  /**
   * Stops listening to the request's cancellation once the exchange has ended.
   */
  release(): void;
}

/** Sends a request over a pool. */
function startExchange(
  pool: ConnectionPool,
  options: { request: BackendRequest; headers: HeaderList; address: string },
): Exchange {
  const { address, headers } = options;
  const { method, path, body, signal } = options.request;
  let aborted = signal.cancelled;
  /** The first error. Later ones only follow from it, so they are ignored. */
  let failure: BackendError | undefined;
  const clientRequest = request({
    agent: pool,
    method,
    path,
    headers: headers.flat(),
    maxHeaderSize: MAX_HEADER_BYTES,
  });
  // What exceeds the declared length would be read as the next request.
  Object.assign(clientRequest, { strictContentLength: true });

  function classifyFailure(code: string): BackendFailure {
    if (aborted || code === LENGTH_MISMATCH_CODE) {
      return "aborted";
    }
    if (OVERFLOW_ERROR_CODES.has(code)) {
      return "defective";
    }
    return pool.getState(clientRequest)?.connected === false
      ? "connect"
      : "reset";
  }

  function recordFailure(error: unknown): BackendError {
    failure ??= error instanceof BackendError ? error : new BackendError(
      classifyFailure((error as { code?: string }).code ?? ""),
      {
        peer: address,
        message: errorMessage(error),
        cause: error,
      },
    );
    return failure;
  }

  function recordTruncation(): BackendError {
    return recordFailure(new Error("the answer was cut"));
  }

  function isComplete(answer: IncomingMessage): boolean {
    const wasReset = pool.getState(clientRequest)?.wasReset === true;
    return answer.complete && !failure && !wasReset;
  }

  const release = signal.onCancel(() => {
    aborted = true;
    clientRequest.destroy();
  });

  const head = new Promise<IncomingMessage>((resolve, reject) => {
    let received: IncomingMessage | undefined;
    clientRequest.on("error", (error) => {
      // An error after a complete answer does not belong to the answer.
      if (!received?.complete) {
        reject(recordFailure(error));
      }
    });
    clientRequest.on("close", () => {
      if (!received) {
        reject(recordTruncation());
      }
    });
    clientRequest.on("response", (answer: IncomingMessage) => {
      received = answer;
      pool.noteProgress(clientRequest);
      answer.on("error", recordFailure);
      answer.on("end", () => {
        pool.noteProgress(clientRequest);
        // The server answered before it got the whole request body. It still
        // expects the rest, so the connection cannot be reused.
        if (!clientRequest.writableFinished) {
          clientRequest.destroy();
        }
      });
      resolve(answer);
    });
  });
  if (body === undefined || body instanceof Uint8Array) {
    clientRequest.end(body);
  } else {
    void writeBody(clientRequest, body);
  }

  return {
    head,
    release,
    destroy: () => void clientRequest.destroy(),
    readAll: (answer) =>
      new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        answer.on("data", (chunk: Buffer) => {
          pool.noteProgress(clientRequest);
          chunks.push(chunk);
        });
        function finish(): void {
          release();
          if (isComplete(answer)) {
            resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
          } else {
            reject(recordTruncation());
          }
        }
        answer.on("end", finish);
        answer.on("close", finish);
      }),
    async *readChunks(answer) {
      clientRequest.setTimeout(BODY_TIMEOUT_MS, () => {
        recordFailure(
          new BackendError("timeout", {
            peer: address,
            message: `nothing came for ${BODY_TIMEOUT_MS} ms`,
          }),
        );
        clientRequest.destroy();
      });
      try {
        for await (const chunk of answer) {
          pool.noteProgress(clientRequest);
          processBufferCollector.note(chunk.length);
          yield chunk;
        }
        if (!isComplete(answer)) {
          throw recordTruncation();
        }
      } catch (error) {
        throw recordFailure(error);
      } finally {
        release();
      }
    },
  };
}

/** Creates a factory of clients for backend servers that use a dialect. */
export function createHttpBackendFactory(
  dialect: BackendDialect,
): BackendFactory {
  return ({ address, connections, connectTimeoutMs }): Backend => {
    const pool = new ConnectionPool({
      address,
      connections,
      connectTimeoutMs,
      idleMs: DEFAULT_IDLE_TIMEOUT_MS,
      maxNonBodyBytes: MAX_NON_BODY_BYTES,
      createExcessError: () =>
        new BackendError("defective", {
          peer: address,
          message:
            `over ${MAX_NON_BODY_BYTES} bytes beside the parts of an answer`,
        }),
    });

    function headersFor(request: BackendRequest): HeaderList {
      const { headers } = request;
      const hasHost = headerValue(headers, "host") !== undefined;
      return [
        ...(hasHost ? [] : [["host", address]] as HeaderList),
        ...headers,
        ...dialect.requestHeaders(request),
        ...framingHeaders(request),
      ];
    }

    return {
      async send(request) {
        if (!isConnectable(address)) {
          throw new BackendError("connect", {
            peer: address,
            message: "not a host and a port",
          });
        }
        const started = startExchange(pool, {
          request,
          headers: headersFor(request),
          address,
        });
        let answer: IncomingMessage;
        try {
          answer = await started.head;
        } catch (error) {
          started.release();
          throw error;
        }
        const head = {
          status: answer.statusCode ?? 0,
          headers: parseRawHeaders(answer.rawHeaders),
        };
        const metadata = dialect.readMetadata(head, request);
        const defect = findStatusDefect(head.status) ?? metadata.defect ??
          findMismatch({
            requestId: request.requestId,
            named: metadata.requestId,
            notRun: metadata.notRun ?? false,
            namesRequests: dialect.namesRequests,
            reused: pool.wasUsedBefore(answer.socket),
          });
        if (defect) {
          started.release();
          started.destroy();
          throw new BackendError("defective", {
            peer: address,
            message: defect,
          });
        }
        pool.setIdleTimeout(answer.socket, advertisedIdleMs(head.headers));
        if (metadata.notRun || head.status === UNAVAILABLE) {
          // A second copy of a refusal would pass for that of the next request.
          pool.retire(answer.socket);
        }
        const body: StreamingBody = {
          [Symbol.asyncIterator]: () => started.readChunks(answer),
          readAll: isShort(head.headers)
            ? () => started.readAll(answer)
            : undefined,
        };
        return { ...head, metadata, body };
      },
      close() {
        pool.close();
        return Promise.resolve();
      },
    };
  };
}

/** Creates a client for a backend server that uses the default dialect. */
export const createHttpBackend: BackendFactory = createHttpBackendFactory(
  new DefaultBackendDialect(),
);
