/**
 * The backend server over HTTP/1.1, by undici.
 * @module
 */
import { EventEmitter } from "node:events";
import { Readable } from "node:stream";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher, errors, Pool } from "undici";
import { errorMessage } from "../core/errors.ts";
import type { HeaderList } from "../core/headers.ts";
import { type BackendDialect, PlainBackendDialect } from "../http/dialect.ts";
import {
  type Backend,
  BackendError,
  type BackendFactory,
  type BackendFailure,
  type ComingBody,
} from "./backend.ts";
import { type ByteMeter, createByteMeter } from "./byte_meter.ts";

/** Longest header fields of an answer, in bytes. */
const MAX_HEADER_BYTES = 16 * 1024;
/**
 * Bytes that may come before, between and after the parts of an answer: its
 * header fields, their punctuation, and heads of interim answers.
 */
const MAX_STRAY_BYTES = 2 * MAX_HEADER_BYTES;
/**
 * The library's own bound of header fields: more than it parses at once, since
 * it makes an error for each field beyond.
 */
const LIBRARY_HEADER_BYTES = 1024 * 1024;
const BODY_TIMEOUT_MS = 30_000;
/** Idle time of a connection whose server names none, in milliseconds. */
const KEEP_ALIVE_MS = 400;
/** Time before the server's own limit at which it is closed here. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
const SHORT_BYTES = 32 * 1024;
const NOT_CONNECTED = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "UND_ERR_CONNECT_TIMEOUT",
]);

/** Finds out how a request failed; in doubt it may have run. */
function failureOf(error: unknown): BackendFailure {
  const code = (error as { code?: string }).code ?? "";
  if (NOT_CONNECTED.has(code)) {
    return "connect";
  }
  if (error instanceof errors.RequestAbortedError) {
    return "aborted";
  }
  if ((error as { name?: string }).name === "AbortError") {
    return "aborted";
  }
  if (
    error instanceof errors.HeadersTimeoutError ||
    error instanceof errors.BodyTimeoutError
  ) {
    return "timeout";
  }
  return "reset";
}

/** Converts undici's headers into a list. */
function headerList(
  headers: Record<string, string | string[] | undefined>,
): HeaderList {
  return Object.entries(headers).flatMap(([name, value]): HeaderList => {
    if (value === undefined) {
      return [];
    }
    const values = Array.isArray(value) ? value : [value];
    return values.map((one): [string, string] => [name, one]);
  });
}

/**
 * Renames the code of a reset. The library takes ECONNRESET for the end of an
 * answer that has no length, but such an answer was cut.
 */
function nameReset(error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") {
    error.code = "CONNECTION_RESET";
  }
}

/**
 * Reports an end as an error if the connection does not exist any more. Where
 * a reset comes together with the last bytes, the runtime tells only of an end;
 * but a connection that its peer has ended in order still has that peer.
 */
function checkEnds(socket: Socket): void {
  const emit = socket.emit.bind(socket) as Socket["emit"];
  socket.emit = ((event: string, ...values: unknown[]) => {
    if (event === "end" && socket.remoteAddress === undefined) {
      socket.destroy(new Error("the connection was reset"));
      return true;
    }
    return emit(event as "end", ...values as []);
  }) as Socket["emit"];
}

/** Connects as the library does, but tells a reset from an end. */
function connectorOf(
  timeoutMs: number,
  meter: ByteMeter,
): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMs });
  return (options, callback) =>
    connect(options, (error, socket) => {
      if (error) {
        callback(error, null);
        return;
      }
      (socket as Socket).prependListener("error", nameReset);
      checkEnds(socket as Socket);
      meter.open(socket as Socket);
      callback(null, socket);
    });
}

/** A client of one connection at a time, which may not bring stray bytes. */
class MeteredClient extends Client {
  readonly #meter: ByteMeter;

  constructor(
    origin: URL,
    options: { address: string; connectTimeoutMs: number; library: object },
  ) {
    const { address, connectTimeoutMs, library } = options;
    const limits = { fields: MAX_HEADER_BYTES, stray: MAX_STRAY_BYTES };
    const meter = createByteMeter(
      limits,
      (bytes) =>
        new BackendError("defective", {
          peer: address,
          message: `over ${bytes} bytes beside the parts of an answer`,
        }),
    );
    super(origin, {
      ...library,
      connect: connectorOf(connectTimeoutMs, meter),
    });
    this.#meter = meter;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandlers,
  ): boolean {
    return super.dispatch(options, this.#meter.watch(handler));
  }
}

/** Whether an answer is short enough to be read at once. */
function isShort(
  headers: Record<string, string | string[] | undefined>,
): boolean {
  const length = Number(headers["content-length"]);
  return length <= SHORT_BYTES;
}

/** Creates clients of backend servers that speak a dialect. */
export function httpBackends(dialect: BackendDialect): BackendFactory {
  return ({ address, connections, connectTimeoutMs }): Backend => {
    const pool = new Pool(`http://${address}`, {
      connections,
      pipelining: 1,
      factory: (origin, library) =>
        new MeteredClient(origin, { address, connectTimeoutMs, library }),
      maxHeaderSize: LIBRARY_HEADER_BYTES,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      // Whoever sends a request cancels it; the library's timers are coarse.
      headersTimeout: 0,
      bodyTimeout: BODY_TIMEOUT_MS,
    });

    function wrap(error: unknown): BackendError {
      if (error instanceof BackendError) {
        return error;
      }
      return new BackendError(failureOf(error), {
        peer: address,
        message: errorMessage(error),
        cause: error,
      });
    }

    function comingBody(
      answer: Dispatcher.ResponseData,
      release: () => void,
    ): ComingBody {
      async function* parts(): AsyncGenerator<Uint8Array> {
        try {
          yield* answer.body;
        } catch (error) {
          throw wrap(error);
        } finally {
          release();
        }
      }
      async function whole(): Promise<Uint8Array> {
        try {
          return new Uint8Array(await answer.body.arrayBuffer());
        } catch (error) {
          throw wrap(error);
        } finally {
          release();
        }
      }
      return {
        [Symbol.asyncIterator]: parts,
        whole: isShort(answer.headers) ? whole : undefined,
      };
    }

    return {
      async send(request) {
        const { method, path, body } = request;
        const signal = new EventEmitter();
        const release = request.signal.onCancel(() => signal.emit("abort"));
        try {
          const answer = await pool.request({
            method: method as "GET",
            path,
            headers: [...request.headers, ...dialect.requestHeaders(request)]
              .flat(),
            body: body === undefined || body instanceof Uint8Array
              ? body
              : Readable.from(body),
            signal,
          });
          const head = {
            status: answer.statusCode,
            headers: headerList(answer.headers),
          };
          const verdict = dialect.judge(head, request);
          if (verdict.defect) {
            // Whatever else is on this connection belongs to no request.
            answer.body.on("error", () => {}).destroy();
            throw new BackendError("defective", {
              peer: address,
              message: verdict.defect,
            });
          }
          return { ...head, verdict, body: comingBody(answer, release) };
        } catch (error) {
          release();
          throw wrap(error);
        }
      },
      close: () => pool.close(),
    };
  };
}

/** Creates a backend server's client that speaks the product's own HTTP. */
export const createHttpBackend: BackendFactory = httpBackends(
  new PlainBackendDialect(),
);
