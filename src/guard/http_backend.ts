/**
 * The backend server over HTTP/1.1, by the runtime's own client: one that every
 * process has compiled before it starts.
 * @module
 */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { errorMessage } from "../core/errors.ts";
import { type HeaderList, headerValue } from "../core/headers.ts";
import { type BackendDialect, PlainBackendDialect } from "../http/dialect.ts";
import { drained } from "../http/drained.ts";
import { headerListOf } from "../http/raw_headers.ts";
import {
  type Backend,
  BackendError,
  type BackendFactory,
  type BackendFailure,
  type BackendRequest,
  type ComingBody,
} from "./backend.ts";
import { ConnectionPool } from "./connection_pool.ts";

/** Longest head of an answer, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/**
 * Bytes that may come before, between and after the parts of an answer: its
 * header fields, their punctuation, and heads of interim answers.
 */
const MAX_STRAY_BYTES = 2 * MAX_HEADER_BYTES;
/** Longest pause within a long body, in milliseconds. */
const BODY_TIMEOUT_MS = 30_000;
/** Idle time of a connection whose server names none, in milliseconds. */
const KEEP_ALIVE_MS = 400;
/** Time before the server's own limit at which it is closed here. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const MS_PER_SECOND = 1_000;
const SHORT_BYTES = 32 * 1024;
/** Methods whose requests tell a length even without a body. */
const METHODS_WITH_BODY = new Set(["POST", "PUT", "PATCH"]);
/** The runtime's codes of heads, and of what stands between chunks, too long. */
const OVERFLOW_CODES = new Set([
  "HPE_HEADER_OVERFLOW",
  "HPE_CHUNK_EXTENSIONS_OVERFLOW",
]);

/** Idle time that an answer names for its connection, in milliseconds. */
function namedIdleMs(headers: HeaderList): number | undefined {
  const text = headerValue(headers, "keep-alive");
  const seconds = /timeout=(\d+)/.exec(text ?? "")?.[1];
  return seconds === undefined
    ? undefined
    : Math.max(0, Number(seconds) * MS_PER_SECOND - KEEP_ALIVE_MARGIN_MS);
}

/** Whether an answer is short enough to be read at once. */
function isShort(headers: HeaderList): boolean {
  return Number(headerValue(headers, "content-length")) <= SHORT_BYTES;
}

/** Headers that tell the backend server where the body ends. */
function framing({ method, headers, body }: BackendRequest): HeaderList {
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

/** Writes a body as its source brings it and the server takes it. */
async function writeBody(
  sent: ClientRequest,
  body: AsyncIterable<Uint8Array>,
): Promise<void> {
  try {
    for await (const part of body) {
      if (sent.destroyed) {
        return;
      }
      if (!sent.write(part)) {
        await drained(sent);
      }
    }
    sent.end();
  } catch (error) {
    // A cut body must not look like a whole one.
    sent.destroy(error as Error);
  }
}

/** One request, from its sending to the end of its answer. */
interface Exchange {
  /** Resolves with the head of the answer; rejects with `BackendError`. */
  head: Promise<IncomingMessage>;
  /** Reads a short body at once. */
  whole(answer: IncomingMessage): Promise<Uint8Array>;
  /** Reads a body as it comes. */
  parts(answer: IncomingMessage): AsyncGenerator<Uint8Array>;
  /** Ends the connection: what else is on it belongs to no request. */
  destroy(): void;
  /** Forgets the sender's cancellation, once the exchange has ended. */
  release(): void;
}

/** Sends a request over a pool. */
function exchange(
  pool: ConnectionPool,
  options: { request: BackendRequest; headers: HeaderList; address: string },
): Exchange {
  const { address, headers } = options;
  const { method, path, body, signal } = options.request;
  let aborted = signal.cancelled;
  /** The first that failed; what follows is told by other names. */
  let failure: BackendError | undefined;
  const sent = request({
    agent: pool,
    method,
    path,
    headers: headers.flat(),
    maxHeaderSize: MAX_HEADER_BYTES,
  });

  function failureOf(code: string): BackendFailure {
    if (aborted) {
      return "aborted";
    }
    if (OVERFLOW_CODES.has(code)) {
      return "defective";
    }
    return pool.stateOf(sent)?.connected === false ? "connect" : "reset";
  }

  function fail(error: unknown): BackendError {
    failure ??= error instanceof BackendError
      ? error
      : new BackendError(failureOf((error as { code?: string }).code ?? ""), {
        peer: address,
        message: errorMessage(error),
        cause: error,
      });
    return failure;
  }

  function cut(): BackendError {
    return fail(new Error("the answer was cut"));
  }

  function isWhole(answer: IncomingMessage): boolean {
    const wasReset = pool.stateOf(sent)?.wasReset === true;
    return answer.complete && !failure && !wasReset;
  }

  const release = signal.onCancel(() => {
    aborted = true;
    sent.destroy();
  });

  const head = new Promise<IncomingMessage>((resolve, reject) => {
    let received: IncomingMessage | undefined;
    sent.on("error", (error) => {
      // What comes after a whole answer is not part of it.
      if (!received?.complete) {
        reject(fail(error));
      }
    });
    sent.on("close", () => {
      if (!received) {
        reject(cut());
      }
    });
    sent.on("response", (answer: IncomingMessage) => {
      received = answer;
      pool.noteProgress(sent);
      answer.on("error", fail);
      answer.on("end", () => {
        pool.noteProgress(sent);
        // The rest of a body that the server did not wait for is owed to it.
        if (!sent.writableFinished) {
          sent.destroy();
        }
      });
      resolve(answer);
    });
  });
  if (body === undefined || body instanceof Uint8Array) {
    sent.end(body);
  } else {
    void writeBody(sent, body);
  }

  return {
    head,
    release,
    destroy: () => void sent.destroy(),
    whole: (answer) =>
      new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        answer.on("data", (chunk: Buffer) => {
          pool.noteProgress(sent);
          chunks.push(chunk);
        });
        function finish(): void {
          release();
          if (isWhole(answer)) {
            resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
          } else {
            reject(cut());
          }
        }
        answer.on("end", finish);
        answer.on("close", finish);
      }),
    async *parts(answer) {
      sent.setTimeout(BODY_TIMEOUT_MS, () => {
        fail(
          new BackendError("timeout", {
            peer: address,
            message: `nothing came for ${BODY_TIMEOUT_MS} ms`,
          }),
        );
        sent.destroy();
      });
      try {
        for await (const chunk of answer) {
          pool.noteProgress(sent);
          yield chunk;
        }
        if (!isWhole(answer)) {
          throw cut();
        }
      } catch (error) {
        throw fail(error);
      } finally {
        release();
      }
    },
  };
}

/** Creates clients of backend servers that speak a dialect. */
export function httpBackends(dialect: BackendDialect): BackendFactory {
  return ({ address, connections, connectTimeoutMs }): Backend => {
    const pool = new ConnectionPool({
      address,
      connections,
      connectTimeoutMs,
      idleMs: KEEP_ALIVE_MS,
      strayBytes: MAX_STRAY_BYTES,
      excess: () =>
        new BackendError("defective", {
          peer: address,
          message:
            `over ${MAX_STRAY_BYTES} bytes beside the parts of an answer`,
        }),
    });

    function headersFor(request: BackendRequest): HeaderList {
      const { headers } = request;
      const named = headerValue(headers, "host") !== undefined;
      return [
        ...(named ? [] : [["host", address]] as HeaderList),
        ...headers,
        ...dialect.requestHeaders(request),
        ...framing(request),
      ];
    }

    return {
      async send(request) {
        const open = exchange(pool, {
          request,
          headers: headersFor(request),
          address,
        });
        let answer: IncomingMessage;
        try {
          answer = await open.head;
        } catch (error) {
          open.release();
          throw error;
        }
        const head = {
          status: answer.statusCode ?? 0,
          headers: headerListOf(answer.rawHeaders),
        };
        const verdict = dialect.judge(head, request);
        if (verdict.defect) {
          open.release();
          open.destroy();
          throw new BackendError("defective", {
            peer: address,
            message: verdict.defect,
          });
        }
        pool.keepFor(answer.socket, namedIdleMs(head.headers));
        const body: ComingBody = {
          [Symbol.asyncIterator]: () => open.parts(answer),
          whole: isShort(head.headers) ? () => open.whole(answer) : undefined,
        };
        return { ...head, verdict, body };
      },
      close() {
        pool.close();
        return Promise.resolve();
      },
    };
  };
}

/** Creates a backend server's client that speaks the product's own HTTP. */
export const createHttpBackend: BackendFactory = httpBackends(
  new PlainBackendDialect(),
);
