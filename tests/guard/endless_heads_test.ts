/**
 * Heads of answers without end, and bytes between answers: the backend server's
 * connection is closed after a bound of bytes, whatever the deadline.
 */
import { test } from "tap";
import { neverCancelled } from "../../src/core/cancellation.ts";
import {
  type Backend,
  BackendError,
  type BackendRequest,
} from "../../src/guard/backend.ts";
import { createHttpBackend } from "../../src/guard/http_backend.ts";
import { eventually } from "../processes.ts";
import { type RawConnection, startRawServer } from "./raw_server.ts";

const OK = "HTTP/1.1 200 OK\r\n";
const CHUNKED = `${OK}transfer-encoding: chunked\r\n\r\n`;
const SOUND = `${OK}content-length: 5\r\nkeep-alive: timeout=60\r\n\r\nsound`;

const REQUEST: BackendRequest = {
  method: "GET",
  path: "/",
  headers: [["host", "a"]],
  body: undefined,
  requestId: "one",
  caller: "",
  instance: "",
  timeLeftMs: 1_000,
  signal: neverCancelled,
};

/** Body of the answer, or the step at which reading it fails. */
async function outcomeOf(backend: Backend): Promise<string> {
  try {
    const { body } = await backend.send(REQUEST);
    if (body instanceof Uint8Array) {
      return Buffer.from(body).toString();
    }
    const parts: Uint8Array[] = [];
    for await (const part of body) {
      parts.push(part);
    }
    return Buffer.concat(parts).toString();
  } catch (error) {
    return error instanceof BackendError ? error.step : String(error);
  }
}

/** A backend server whose first answer is bad, and whose others are sound. */
async function startTroubled(answer: (connection: RawConnection) => void) {
  let requests = 0;
  const server = await startRawServer((connection) => {
    if (requests++ === 0) {
      answer(connection);
    } else {
      connection.write(SOUND);
    }
  });
  const backend = createHttpBackend({
    address: server.address,
    connections: 1,
    connectTimeoutMs: 500,
  });
  return { server, backend };
}

const HEADS: [string, string, string][] = [
  ["a status line", "HTTP/1.1 200 ", "a"],
  ["blank lines before the status line", "", "\r\n"],
  [
    "heads of interim answers",
    "",
    "HTTP/1.1 103 Early Hints\r\nx-a: b\r\n\r\n",
  ],
  ["header fields", OK, "x-a: b\r\n"],
  ["one header field", `${OK}x-a: `, "b"],
  ["the extension of a chunk", `${CHUNKED}5;a=`, "b"],
  ["the length of a chunk", CHUNKED, "0"],
  ["trailers", `${CHUNKED}1\r\na\r\n0\r\n`, "x-a: b\r\n"],
];

for (const [what, start, rest] of HEADS) {
  test(`${what} without end closes the connection`, async (t) => {
    const { server, backend } = await startTroubled((connection) => {
      connection.write(start);
      connection.flood(rest);
    });
    t.teardown(server.close);
    t.equal(await outcomeOf(backend), "backend.defective");
    await eventually("it is closed", () => server.connections[0].closed);
    t.equal(await outcomeOf(backend), "sound");
  });
}

test("a whole head with too many fields closes the connection", async (t) => {
  const { server, backend } = await startTroubled((connection) =>
    connection.write(
      `${OK}${"x-a: b\r\n".repeat(5_000)}content-length: 0\r\n\r\n`,
    )
  );
  t.teardown(server.close);
  t.equal(await outcomeOf(backend), "backend.defective");
  await eventually("it is closed", () => server.connections[0].closed);
  t.equal(await outcomeOf(backend), "sound");
});

test("bytes without end after an answer's length close the connection", async (t) => {
  const { server, backend } = await startTroubled((connection) => {
    connection.write(SOUND);
    connection.flood("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nmore");
  });
  t.teardown(server.close);
  t.equal(await outcomeOf(backend), "sound");
  await eventually("it is closed", () => server.connections[0].closed);
  t.equal(await outcomeOf(backend), "sound");
});

test("bytes without end after an answer close the idle connection", async (t) => {
  const { server, backend } = await startTroubled((connection) =>
    connection.write(SOUND)
  );
  t.teardown(server.close);
  t.equal(await outcomeOf(backend), "sound");
  server.connections[0].flood("\r\n");
  await eventually("it is closed", () => server.connections[0].closed);
  t.equal(await outcomeOf(backend), "sound");
});

test("a long answer in the smallest chunks is taken whole", async (t) => {
  const { server, backend } = await startTroubled((connection) => {
    connection.write(CHUNKED);
    connection.write("1\r\na\r\n".repeat(40_000));
    connection.write("0\r\n\r\n");
  });
  t.teardown(server.close);
  t.equal((await outcomeOf(backend)).length, 40_000);
});

test("a long answer that is read late is taken whole", async (t) => {
  const length = 1_000_000;
  const { server, backend } = await startTroubled((connection) =>
    connection.write(
      `${OK}content-length: ${length}\r\n\r\n${"a".repeat(length)}`,
    )
  );
  t.teardown(server.close);
  const { body } = await backend.send(REQUEST);
  const connection = server.connections[0];
  await eventually("all is under way", () => connection.written > length);
  let size = 0;
  for await (const part of body as AsyncIterable<Uint8Array>) {
    size += part.length;
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.equal(size, length);
});
