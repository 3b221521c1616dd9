/**
 * Malformed or unbounded answers of the backend server, over the whole path
 * from caller to server. None of their bytes reach the caller as a complete
 * answer, each releases its slot and its connections, and the next request is
 * served. The platform's APIs close the connection of a call with an unbounded
 * body.
 */
import { connect, type Socket } from "node:net";
import { test } from "tap";
import { eventually } from "../processes.ts";
import {
  answerNormally,
  type Behaviour,
  type Harness,
  HOST,
  sendRequest,
  startServingHarness,
} from "./harness.ts";

const FILLER = Buffer.alloc(16 * 1024, "no answer ");

/** Writes the same bytes until the connection is closed. */
function writeEndlessly(socket: Socket, bytes: Buffer): void {
  function write(): void {
    while (!socket.destroyed && socket.write(bytes)) {
      // Writes as much as the socket buffers; "drain" starts the next round.
    }
  }
  socket.on("drain", write);
  write();
}

/** Answers with a raw head, followed by `rest` without end. */
function answerEndlessly(
  openSockets: Set<Socket>,
  head: (id: string) => string,
  rest: Buffer = FILLER,
): Behaviour {
  return (request, response) => {
    const socket = response.socket!;
    openSockets.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => openSockets.delete(socket));
    socket.write(head(String(request.headers["x-mustardcross-request-id"])));
    writeEndlessly(socket, rest);
  };
}

function formatHead(id: string): string {
  return `x-mustardcross-request-id: ${id}\r\n` +
    `x-mustardcross-response-signature: signed-${id}\r\n`;
}

const NOT_RUN = "x-mustardcross-not-executed: 1\r\n";

/** What the server sends, and the caller's status; 0 if the answer is cut. */
const CASES: [string, (id: string) => string, Buffer, number][] = [
  ["a status line", () => "HTTP/1.1 200 ", FILLER, 502],
  [
    "header fields",
    (id) => `HTTP/1.1 200 OK\r\n${formatHead(id)}`,
    Buffer.from("x-a: b\r\n".repeat(2_000)),
    502,
  ],
  ["an unsigned success", () => "HTTP/1.1 200 OK\r\n\r\n", FILLER, 502],
  [
    "a success with bytes that are not a chunk",
    (id) =>
      `HTTP/1.1 200 OK\r\n${formatHead(id)}transfer-encoding: chunked\r\n\r\n` +
      "5\r\nwhole\r\n",
    FILLER,
    502,
  ],
  [
    "a 503 with the not-executed header",
    () => `HTTP/1.1 503 Busy\r\n${NOT_RUN}\r\n`,
    FILLER,
    503,
  ],
  [
    "a 500",
    (id) => `HTTP/1.1 500 No\r\n${formatHead(id)}\r\n`,
    FILLER,
    0,
  ],
  [
    "a 503 without the not-executed header",
    (id) => `HTTP/1.1 503 Busy\r\n${formatHead(id)}\r\n`,
    FILLER,
    0,
  ],
];

/** Sends a request; returns the status of a complete answer, 0 if it is cut. */
async function readStatus(harness: Harness): Promise<number> {
  try {
    return (await sendRequest(harness, "/pay/1", { method: "POST" })).status;
  } catch {
    return 0;
  }
}

test("unbounded answers and calls", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  const { guard } = harness.process.node!;

  async function waitUntilFree(openSockets: Set<Socket>): Promise<void> {
    await eventually(
      "the server's connections are closed",
      () => openSockets.size === 0,
    );
    await eventually("the slot is free", () => guard.load().inFlight === 0);
  }

  for (const [name, head, rest, status] of CASES) {
    await t.test(name, async (t) => {
      const openSockets = new Set<Socket>();
      harness.setBehaviour(answerEndlessly(openSockets, head, rest));
      t.equal(await readStatus(harness), status);
      await waitUntilFree(openSockets);
      harness.setBehaviour(answerNormally);
      t.equal(await readStatus(harness), 200, "the next request is served");
    });
  }

  await t.test("an unbounded success is forwarded until its caller leaves", async (t) => {
    const openSockets = new Set<Socket>();
    harness.setBehaviour(
      answerEndlessly(
        openSockets,
        (id) => `HTTP/1.1 200 OK\r\n${formatHead(id)}\r\n`,
      ),
    );
    const { port } = new URL(harness.callers);
    const caller = connect(Number(port), HOST);
    let received = 0;
    caller.on("data", (part: Buffer) => received += part.length);
    caller.on("error", () => {});
    caller.write(
      "GET /read/1 HTTP/1.1\r\nhost: shop.example\r\n" +
        "x-mustardcross-request-id: id-9\r\n\r\n",
    );
    await eventually(
      "the caller has received over 1 MB",
      () => received > 1_000_000,
    );
    caller.destroy();
    await waitUntilFree(openSockets);
    harness.setBehaviour(answerNormally);
    t.equal(await readStatus(harness), 200, "the next request is served");
  });

  for (
    const [name, base, line] of [
      ["a heartbeat", harness.nodeApi, "PUT /instances/i-one HTTP/1.1"],
      ["a change of an operator", harness.operator, "PUT /config HTTP/1.1"],
      [
        "a removal of an instance",
        harness.nodeApi,
        "DELETE /instances/i-other HTTP/1.1",
      ],
      [
        "an unknown call of the node API",
        harness.nodeApi,
        "GET /nothing HTTP/1.1",
      ],
      [
        "an unknown call of the operator API",
        harness.operator,
        "GET / HTTP/1.1",
      ],
    ]
  ) {
    await t.test(`${name} with an unbounded body is closed`, async (t) => {
      const { port } = new URL(base);
      const writer = connect(Number(port), HOST);
      writer.on("error", () => {});
      writer.on("data", () => {});
      let closed = false;
      writer.on("close", () => closed = true);
      writer.write(
        `${line}\r\nhost: a\r\nif-match: 00000002\r\n` +
          "transfer-encoding: chunked\r\n\r\n",
      );
      const part = "x".repeat(0x4000);
      writeEndlessly(writer, Buffer.from(`4000\r\n${part}\r\n`));
      await eventually("the connection is closed", () => closed);
      t.equal(
        (await harness.sendHeartbeat()).status,
        200,
        "the next call is served",
      );
    });
  }
});
