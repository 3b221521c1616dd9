/**
 * The body of a request with an idempotency key. It is read whole before the key
 * is claimed, since the claim holds its hash, and may be sent more than once.
 * @module
 */
import type { Call } from "./call.ts";

/** Longest body that an attempt carries itself, in place of a stream. */
const MAX_WHOLE_BODY_BYTES = 64 * 1024;

/** A body that has been read whole. */
export interface KeyedBody {
  readonly bytes: Uint8Array;
  /**
   * Returns a stream of the body for one attempt, or `undefined` if the body is
   * short enough for the attempt itself.
   */
  stream(): AsyncIterable<Uint8Array> | undefined;
}

async function* split(bytes: Uint8Array): AsyncGenerator<Uint8Array> {
  for (let at = 0; at < bytes.length; at += MAX_WHOLE_BODY_BYTES) {
    yield bytes.subarray(at, at + MAX_WHOLE_BODY_BYTES);
  }
}

function createKeyedBody(bytes: Uint8Array): KeyedBody {
  return {
    bytes,
    stream: () =>
      bytes.length > MAX_WHOLE_BODY_BYTES ? split(bytes) : undefined,
  };
}

/**
 * Reads the body of a call; returns `undefined` if it is longer than `maxBytes`.
 * Throws if the caller's stream is cut.
 */
export async function readKeyedBody(
  { body }: Call,
  maxBytes: number,
): Promise<KeyedBody | undefined> {
  if (body instanceof Uint8Array) {
    return createKeyedBody(body);
  }
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > maxBytes) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return createKeyedBody(Buffer.concat(chunks));
}
