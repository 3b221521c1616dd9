/**
 * Reading of HTTP request bodies.
 * @module
 */
import type { IncomingMessage } from "node:http";

/** Largest request body that is buffered; a longer one is streamed. */
export const MAX_BUFFERED_BODY_BYTES = 64 * 1024;

/**
 * Returns a short body as a buffer and a longer one as a stream, which reads
 * from the connection no faster than it is consumed. A reader that stops before
 * the end leaves the rest to the next reader of the stream; otherwise the rest
 * would stay on the connection, in front of the client's next request.
 */
export async function readBody(
  request: IncomingMessage,
): Promise<Uint8Array | AsyncIterable<Uint8Array>> {
  const { headers } = request;
  const hasNoBody = headers["content-length"] === undefined &&
    headers["transfer-encoding"] === undefined;
  if (hasNoBody || headers["content-length"] === "0") {
    return new Uint8Array();
  }
  const chunks = request[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  const parts: Buffer[] = [];
  let size = 0;
  while (size <= MAX_BUFFERED_BODY_BYTES) {
    const next = await chunks.next();
    if (next.done) {
      return Buffer.concat(parts);
    }
    parts.push(next.value);
    size += next.value.length;
  }
  let first: Buffer | undefined = Buffer.concat(parts);
  async function next(): Promise<IteratorResult<Uint8Array, undefined>> {
    if (first) {
      const value = first;
      first = undefined;
      return { done: false, value };
    }
    return await chunks.next();
  }
  // Without `return`, a loop over the stream does not end it by leaving early.
  return { [Symbol.asyncIterator]: () => ({ next }) };
}

/** Reads a body of at most `limit` bytes; `undefined` if it is longer. */
export async function readLimitedBody(
  request: IncomingMessage,
  limit: number,
): Promise<Buffer | undefined> {
  const parts: Buffer[] = [];
  let size = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    size += part.length;
    if (size > limit) {
      return undefined;
    }
    parts.push(part);
  }
  return Buffer.concat(parts);
}
