/**
 * Guards against a backend server that stops in the middle of an answer's head
 * or body and closes: nothing of it may pass for a whole answer, or for one that
 * proves that the server is healthy.
 */
import { test } from "tap";
import type { Backend } from "../../src/guard/backend.ts";
import { createFakeServerLink } from "../../src/guard/fake_server_link.ts";
import {
  createFakeServerRequest,
  fetchBody,
  readChunks,
  stepOr,
} from "../../src/guard/fake_server_request.ts";
import { createHttpBackend } from "../../src/guard/http_backend.ts";
import { startRawServer } from "./raw_server.ts";

const LONG_VALUE = "a=b, ".repeat(4);
const HEAD = `HTTP/1.1 200 OK\r\nserver: x\r\nvia: ${LONG_VALUE}\r\n`;
const INTERIM_HEAD = "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n";

/** Whole answers, by what frames their bodies; each is cut at every byte. */
const ANSWERS: Record<string, string> = {
  "of a length": `${HEAD}content-length: 5\r\n\r\nwhole`,
  "in chunks":
    `${HEAD}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`,
  "in chunks with a trailer":
    `${HEAD}transfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nend: 1\r\n\r\n`,
  "after an interim head":
    `${INTERIM_HEAD}${HEAD}content-length: 5\r\n\r\nwhole`,
  "on a connection that closes":
    `${HEAD}connection: close\r\ncontent-length: 5\r\n\r\nwhole`,
};
const EMPTY_ANSWER = `${HEAD}content-length: 0\r\n\r\n`;
/** A head without a length; the body ends with the connection. */
const UNFRAMED_HEAD = `${HEAD}\r\n`;

/** Ways to read a body: in chunks, and in one piece if it is short. */
type Reading = "chunks" | "whole";

/** Requests a path; returns the body, or the step at which that failed. */
function fetchFrom(
  backend: Backend,
  { path, reading }: { path: string; reading: Reading },
): Promise<string> {
  return stepOr(
    reading === "whole"
      ? fetchWhole(backend, path)
      : fetchBody(backend, { path, requestId: path }),
  );
}

/** Reads a body in one piece if it is short. */
async function fetchWhole(backend: Backend, path: string): Promise<string> {
  const request = createFakeServerRequest({ path, requestId: path });
  const { body } = await backend.send(request);
  const isWhole = !(body instanceof Uint8Array) && body.readAll;
  return isWhole
    ? Buffer.from(await body.readAll!()).toString()
    : await readChunks(body);
}

/** Starts a server that writes the first bytes of a text and closes. */
async function startCutting(text: string) {
  const server = await startRawServer((connection, request) => {
    const length = Number(/GET \/(\d+)/.exec(request)?.[1]);
    connection.end(text.slice(0, length));
  });
  const backend = createHttpBackend({
    address: server.address,
    connections: 4,
    connectTimeoutMs: 500,
  });
  return { server, backend };
}

/** Returns the numbers of bytes after which a cut answer passes for whole. */
async function findBelieved(text: string, end: number): Promise<number[]> {
  const { server, backend } = await startCutting(text);
  const believed: number[] = [];
  for (let length = 0; length < end; length++) {
    for (const reading of ["chunks", "whole"] as const) {
      const got = await fetchFrom(backend, { path: `/${length}`, reading });
      if (!got.startsWith("backend.")) {
        believed.push(length);
      }
    }
  }
  server.close();
  return believed;
}

for (const [name, text] of Object.entries(ANSWERS)) {
  test(`an answer ${name} that is cut at any byte fails`, async (t) => {
    t.same(await findBelieved(text, text.length), []);
    for (const reading of ["chunks", "whole"] as const) {
      const { server, backend } = await startCutting(text);
      t.teardown(server.close);
      const path = `/${text.length}`;
      t.equal(await fetchFrom(backend, { path, reading }), "whole", reading);
    }
  });
}

test("an answer with an empty body that is cut at any byte fails", async (t) => {
  t.same(await findBelieved(EMPTY_ANSWER, EMPTY_ANSWER.length), []);
});

test("a head without a length that is cut at any byte fails", async (t) => {
  t.same(await findBelieved(UNFRAMED_HEAD, UNFRAMED_HEAD.length), []);
});

test("a health check whose answer is cut in its head fails", async (t) => {
  let length = 0;
  const server = await startRawServer((connection) =>
    connection.end(UNFRAMED_HEAD.slice(0, length))
  );
  t.teardown(server.close);
  const { link } = createFakeServerLink(server.address);
  for (length = 0; length < UNFRAMED_HEAD.length; length++) {
    t.notOk(await link.probe(), `cut after ${length} bytes`);
  }
  t.ok(await link.probe(), "the whole head is believed");
});
