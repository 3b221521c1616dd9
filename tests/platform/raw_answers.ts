/**
 * Answers that a backend server writes byte by byte, to send them to a client
 * that expects another answer.
 * @module
 */
import { PlatformBackendDialect } from "../../platform/dialects.ts";
import type { Backend } from "../../src/guard/backend.ts";
import {
  createFakeServerRequest,
  readChunks,
  stepOr,
} from "../../src/guard/fake_server_request.ts";
import { createHttpBackendFactory } from "../../src/guard/http_backend.ts";
import { type RawServer, startRawServer } from "../guard/raw_server.ts";

const ID_HEADER = "x-mustardcross-request-id";
/** Header line of an answer that the server itself has made. */
export const SIGNED = "x-mustardcross-response-signature: s\r\n";
/** Header line of an answer to a request that the server did not run. */
export const REFUSED = "x-mustardcross-not-executed: 1\r\n";

/** An answer. */
export interface RawAnswer {
  status: number;
  /** Request that the answer names, if it names one. */
  id?: string;
  /** Further header lines. */
  lines?: string;
}

/** Creates clients of backend servers that use the platform's headers. */
export const createPlatformBackend = createHttpBackendFactory(
  new PlatformBackendDialect(),
);

/** Returns the bytes of an answer. */
export function formatAnswer({ status, id, lines = "" }: RawAnswer): string {
  const named = id === undefined ? "" : `${ID_HEADER}: ${id}\r\n`;
  return `HTTP/1.1 ${status} S\r\n${named}${lines}content-length: 2\r\n\r\nok`;
}

/** Starts a server that gives the listed answers in order, one to a request. */
export async function startAnswers(
  answers: readonly RawAnswer[],
): Promise<{ server: RawServer; backend: Backend }> {
  const remaining = [...answers];
  const server = await startRawServer((connection) => {
    const next = remaining.shift();
    if (next) {
      connection.write(formatAnswer(next));
    }
  });
  const backend = createPlatformBackend({
    address: server.address,
    connections: 2,
    connectTimeoutMs: 500,
  });
  return { server, backend };
}

/** Sends a request; returns its status, or the step at which it failed. */
export async function sendTo(
  backend: Backend,
  requestId: string,
): Promise<number | string> {
  return await stepOr(fetchStatus(backend, requestId));
}

async function fetchStatus(
  backend: Backend,
  requestId: string,
): Promise<number> {
  const request = createFakeServerRequest({ requestId });
  const { status, body } = await backend.send(request);
  await readChunks(body);
  return status;
}
