/**
 * Bytes of the backend server that are no answer and have no end, over the whole
 * path: nothing of them looks whole, no place stays taken, and the next request
 * is served.
 */
import { connect, type Socket } from "node:net";
import { test } from "tap";
import { eventually } from "../processes.ts";
import {
  ask,
  type Behaviour,
  HOST,
  type Lab,
  sound,
  startServingLab,
} from "./lab.ts";

const FLOOD = Buffer.alloc(16 * 1024, "no answer ");

/** Writes the same bytes until the connection is closed. */
function flood(socket: Socket, bytes: Buffer): void {
  function push(): void {
    while (!socket.destroyed && socket.write(bytes)) {
      // As much as the other end takes.
    }
  }
  socket.on("drain", push);
  push();
}

/** Answers with raw bytes, and then with others without end. */
function endless(
  open: Set<Socket>,
  head: (id: string) => string,
  rest: Buffer = FLOOD,
): Behaviour {
  return (seen, response) => {
    const socket = response.socket!;
    open.add(socket);
    socket.on("error", () => {});
    socket.on("close", () => open.delete(socket));
    socket.write(head(String(seen.headers["x-mustardcross-request-id"])));
    flood(socket, rest);
  };
}

function signed(id: string): string {
  return `x-mustardcross-request-id: ${id}\r\n` +
    `x-mustardcross-response-signature: signed-${id}\r\n`;
}

const NOT_RUN = "x-mustardcross-not-executed: 1\r\n";

/** What the server sends; the status of the answer, 0 if it is cut. */
const CASES: [string, (id: string) => string, Buffer, number][] = [
  ["a status line", () => "HTTP/1.1 200 ", FLOOD, 502],
  [
    "header fields",
    (id) => `HTTP/1.1 200 OK\r\n${signed(id)}`,
    Buffer.from("x-a: b\r\n".repeat(2_000)),
    502,
  ],
  ["an unsigned success", () => "HTTP/1.1 200 OK\r\n\r\n", FLOOD, 502],
  [
    "a success beyond its length in chunks",
    (id) =>
      `HTTP/1.1 200 OK\r\n${signed(id)}transfer-encoding: chunked\r\n\r\n` +
      "5\r\nwhole\r\n",
    FLOOD,
    502,
  ],
  [
    "a 503 that proves that nothing ran",
    () => `HTTP/1.1 503 Busy\r\n${NOT_RUN}\r\n`,
    FLOOD,
    503,
  ],
  [
    "a failure",
    (id) => `HTTP/1.1 500 No\r\n${signed(id)}\r\n`,
    FLOOD,
    0,
  ],
  [
    "a 503 after a run",
    (id) => `HTTP/1.1 503 Busy\r\n${signed(id)}\r\n`,
    FLOOD,
    0,
  ],
];

/** Status of a whole answer, or 0 if it was cut. */
async function statusOf(lab: Lab): Promise<number> {
  try {
    return (await ask(lab, "/pay/1", { method: "POST" })).status;
  } catch {
    return 0;
  }
}

test("bytes without end over the whole path", async (t) => {
  const lab = await startServingLab();
  t.teardown(lab.end);
  const { guard } = lab.process.node!;

  async function isFree(open: Set<Socket>): Promise<void> {
    await eventually("its connections are closed", () => open.size === 0);
    await eventually("its place is free", () => guard.load().inFlight === 0);
  }

  for (const [what, head, rest, status] of CASES) {
    await t.test(what, async (t) => {
      const open = new Set<Socket>();
      lab.behave(endless(open, head, rest));
      t.equal(await statusOf(lab), status);
      await isFree(open);
      lab.behave(sound);
      t.equal(await statusOf(lab), 200, "the next request is served");
    });
  }

  await t.test("a success goes on until its caller leaves", async (t) => {
    const open = new Set<Socket>();
    lab.behave(
      endless(open, (id) => `HTTP/1.1 200 OK\r\n${signed(id)}\r\n`),
    );
    const { port } = new URL(lab.callers);
    const caller = connect(Number(port), HOST);
    let received = 0;
    caller.on("data", (part: Buffer) => received += part.length);
    caller.on("error", () => {});
    caller.write(
      "GET /read/1 HTTP/1.1\r\nhost: shop.example\r\n" +
        "x-mustardcross-request-id: id-9\r\n\r\n",
    );
    await eventually("much of it has come", () => received > 1_000_000);
    caller.destroy();
    await isFree(open);
    lab.behave(sound);
    t.equal(await statusOf(lab), 200, "the next request is served");
  });

  for (
    const [what, base, line] of [
      ["an announcement", lab.beats, "PUT /instances/i-one HTTP/1.1"],
      ["an operator's change", lab.operator, "PUT /config HTTP/1.1"],
      ["a withdrawal", lab.beats, "DELETE /instances/i-other HTTP/1.1"],
      ["a call that is not known", lab.beats, "GET /nothing HTTP/1.1"],
      ["an unknown call of an operator", lab.operator, "GET / HTTP/1.1"],
    ]
  ) {
    await t.test(`${what} without end is closed`, async (t) => {
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
      flood(writer, Buffer.from(`4000\r\n${part}\r\n`));
      await eventually("it is closed", () => closed);
      t.equal((await lab.beat()).status, 200, "the next call is served");
    });
  }
});
