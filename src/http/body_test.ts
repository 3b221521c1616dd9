/**
 * Guards against a client's connection that is not read any more: what one
 * reader of a long body leaves, another one can read and drop.
 */
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { test } from "tap";
import { MAX_BUFFERED_BODY_BYTES, readBody } from "./body.ts";

const CHUNK_BYTES = 40_000;
const CHUNKS = 5;

function createRequest(): IncomingMessage {
  const body = Readable.from(
    Array.from({ length: CHUNKS }, (_, n) => Buffer.alloc(CHUNK_BYTES, n)),
    { objectMode: false, highWaterMark: 1 },
  );
  const length = String(CHUNK_BYTES * CHUNKS);
  return Object.assign(body, {
    headers: { "content-length": length },
  }) as unknown as IncomingMessage;
}

async function readAll(body: AsyncIterable<Uint8Array>): Promise<Buffer> {
  const parts: Uint8Array[] = [];
  for await (const part of body) {
    parts.push(part);
  }
  return Buffer.concat(parts);
}

test("a reader that stops early leaves the rest of a long body", async (t) => {
  const request = createRequest();
  const body = await readBody(request) as AsyncIterable<Uint8Array>;
  let first = 0;
  for await (const part of body) {
    first = part.length;
    break;
  }
  t.ok(first > MAX_BUFFERED_BODY_BYTES);
  t.notOk(request.destroyed);
  t.equal((await readAll(body)).length, CHUNK_BYTES * CHUNKS - first);
});

test("a long body is read whole, in order", async (t) => {
  const body = await readBody(createRequest()) as AsyncIterable<Uint8Array>;
  const bytes = await readAll(body);
  t.equal(bytes.length, CHUNK_BYTES * CHUNKS);
  t.same([...new Set(bytes)], [0, 1, 2, 3, 4]);
});
