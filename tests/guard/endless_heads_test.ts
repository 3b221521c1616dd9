/**
 * Guards against a backend server that sends endless heads, or endless bytes
 * between answers. They must not keep the connection busy until the deadline,
 * so it must be closed after a limit in bytes, whatever the deadline is.
 */
import { test } from "tap";
import type { Backend } from "../../src/guard/backend.ts";
import {
  createFakeServerRequest,
  fetchBody,
  stepOr,
} from "../../src/guard/fake_server_request.ts";
import { createHttpBackend } from "../../src/guard/http_backend.ts";
import { eventually } from "../processes.ts";
import { type RawConnection, startRawServer } from "./raw_server.ts";

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";
const CHUNKED_HEAD = `${STATUS_LINE}transfer-encoding: chunked\r\n\r\n`;
const VALID_ANSWER =
  `${STATUS_LINE}content-length: 5\r\nkeep-alive: timeout=60\r\n\r\nsound`;

/** Returns the body of the answer, or the step at which reading it fails. */
function readOutcome(backend: Backend): Promise<string> {
  return stepOr(fetchBody(backend));
}

/**
 * Starts a server whose first answer `answer` writes; its other answers are
 * valid.
 */
async function startFaultyServer(answer: (connection: RawConnection) => void) {
  let requests = 0;
  const server = await startRawServer((connection) => {
    if (requests++ === 0) {
      answer(connection);
    } else {
      connection.write(VALID_ANSWER);
    }
  });
  const backend = createHttpBackend({
    address: server.address,
    connections: 1,
    connectTimeoutMs: 500,
  });
  return { server, backend };
}

const ENDLESS_PARTS: [string, string, string][] = [
  ["a status line", "HTTP/1.1 200 ", "a"],
  ["blank lines before the status line", "", "\r\n"],
  [
    "heads of interim answers",
    "",
    "HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n",
  ],
  ["header fields", STATUS_LINE, "x-a: b\r\n"],
  ["one header field", `${STATUS_LINE}x-a: `, "b"],
  ["the extension of a chunk", `${CHUNKED_HEAD}5;a=`, "b"],
  ["the length of a chunk", CHUNKED_HEAD, "0"],
  ["trailers", `${CHUNKED_HEAD}1\r\na\r\n0\r\n`, "x-a: b\r\n"],
];

for (const [description, start, repeated] of ENDLESS_PARTS) {
  test(`the connection is closed on ${description} without end`, async (t) => {
    const { server, backend } = await startFaultyServer((connection) => {
      connection.write(start);
      connection.flood(repeated);
    });
    t.teardown(server.close);
    t.equal(await readOutcome(backend), "backend.defective");
    await eventually(
      "the first connection is closed",
      () => server.connections[0].closed,
    );
    t.equal(await readOutcome(backend), "sound");
  });
}

test("the connection is closed on a complete head with too many fields", async (t) => {
  const { server, backend } = await startFaultyServer((connection) =>
    connection.write(
      `${STATUS_LINE}${"x-a: b\r\n".repeat(5_000)}content-length: 0\r\n\r\n`,
    )
  );
  t.teardown(server.close);
  t.equal(await readOutcome(backend), "backend.defective");
  await eventually(
    "the first connection is closed",
    () => server.connections[0].closed,
  );
  t.equal(await readOutcome(backend), "sound");
});

test("the connection is closed on endless bytes directly after an answer", async (t) => {
  const { server, backend } = await startFaultyServer((connection) => {
    connection.write(VALID_ANSWER);
    connection.flood("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore");
  });
  t.teardown(server.close);
  t.equal(await readOutcome(backend), "sound");
  await eventually(
    "the first connection is closed",
    () => server.connections[0].closed,
  );
  t.equal(await readOutcome(backend), "sound");
});

test("an idle connection that receives endless bytes is closed", async (t) => {
  const { server, backend } = await startFaultyServer((connection) =>
    connection.write(VALID_ANSWER)
  );
  t.teardown(server.close);
  t.equal(await readOutcome(backend), "sound");
  server.connections[0].flood("\r\n");
  await eventually(
    "the first connection is closed",
    () => server.connections[0].closed,
  );
  t.equal(await readOutcome(backend), "sound");
});

test("a long answer in chunks of one byte is read completely", async (t) => {
  const { server, backend } = await startFaultyServer((connection) => {
    connection.write(CHUNKED_HEAD);
    connection.write("1\r\na\r\n".repeat(40_000));
    connection.write("0\r\n\r\n");
  });
  t.teardown(server.close);
  t.equal((await readOutcome(backend)).length, 40_000);
});

test("a long answer that is read slowly is read completely", async (t) => {
  const length = 1_000_000;
  const { server, backend } = await startFaultyServer((connection) =>
    connection.write(
      `${STATUS_LINE}content-length: ${length}\r\n\r\n${"a".repeat(length)}`,
    )
  );
  t.teardown(server.close);
  const { body } = await backend.send(createFakeServerRequest());
  const connection = server.connections[0];
  await eventually(
    "the server has written the whole answer",
    () => connection.bytesWritten > length,
  );
  let size = 0;
  for await (const part of body as AsyncIterable<Uint8Array>) {
    size += part.length;
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.equal(size, length);
});
