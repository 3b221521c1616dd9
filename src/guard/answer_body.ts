/**
 * Reads bodies of answers within a bound of bytes. What goes beyond the bound
 * is left to the reader, or closes the connection to the backend server.
 * @module
 */
import { type BackendAnswer, BackendError } from "./backend.ts";

/** The first bytes of a body, and the rest unless that was all. */
export interface BodyStart {
  bytes: Uint8Array;
  rest: AsyncIterator<Uint8Array> | undefined;
}

/** Reads a body up to its end, or until over `limit` bytes have come. */
export async function readStart(
  body: BackendAnswer["body"],
  limit: number,
): Promise<BodyStart> {
  if (body instanceof Uint8Array) {
    return { bytes: body, rest: undefined };
  }
  if (body.whole) {
    return { bytes: await body.whole(), rest: undefined };
  }
  const chunks = body[Symbol.asyncIterator]();
  const parts: Uint8Array[] = [];
  let size = 0;
  while (size <= limit) {
    const next = await chunks.next();
    if (next.done) {
      return { bytes: Buffer.concat(parts), rest: undefined };
    }
    parts.push(next.value);
    size += next.value.length;
  }
  return { bytes: Buffer.concat(parts), rest: chunks };
}

/**
 * Reads a body that is passed on to nobody, so that its connection can be used
 * again. Over `limit` bytes, the connection is closed, and this rejects.
 */
export async function readAway(
  { body }: BackendAnswer,
  options: { limit: number; peer: string },
): Promise<void> {
  const { limit, peer } = options;
  const { rest } = await readStart(body, limit);
  if (rest) {
    await rest.return?.();
    throw new BackendError("defective", {
      peer,
      message: `a body of over ${limit} bytes`,
    });
  }
}
