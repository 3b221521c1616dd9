/**
 * Reads bodies of answers up to a limit in bytes. The rest of a longer body is
 * left to the caller, or the connection to the backend server is closed.
 * @module
 */
import { type BackendAnswer, BackendError } from "./backend.ts";

/** The first bytes of a body, and the remaining chunks, if there are any. */
export interface BodyPrefix {
  bytes: Uint8Array;
  rest: AsyncIterator<Uint8Array> | undefined;
}

/** Reads a body to its end, or until more than `limit` bytes were received. */
export async function readPrefix(
  body: BackendAnswer["body"],
  limit: number,
): Promise<BodyPrefix> {
  if (body instanceof Uint8Array) {
    return { bytes: body, rest: undefined };
  }
  if (body.readAll) {
    return { bytes: await body.readAll(), rest: undefined };
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
 * Reads and drops a body, so that its connection can be reused. If the body has
 * more than `limit` bytes, closes the connection and rejects.
 */
export async function discardBody(
  { body }: BackendAnswer,
  options: { limit: number; peer: string },
): Promise<void> {
  const { limit, peer } = options;
  const { rest } = await readPrefix(body, limit);
  if (rest) {
    await rest.return?.();
    throw new BackendError("defective", {
      peer,
      message: `a body of over ${limit} bytes`,
    });
  }
}
