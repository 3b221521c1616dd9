/**
 * Errors on a connection whose earlier requests are still running: a malformed
 * request behind them, a head that never ends, a handler that fails, and a
 * caller that leaves. The pending responses come first, complete and in order.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { test } from "tap";
import {
  abortResponse,
  closeHttp,
  createHttpServer,
  listenHttp,
} from "../../src/http/server.ts";
import { eventually } from "../processes.ts";

const HOST = "127.0.0.1";

/** Client of one connection, and the server's end of it. */
interface PipelinedClient {
  socket: Socket;
  /** Everything received so far. */
  received(): string;
  /** Sends text and resolves once the server has read it. */
  send(text: string): Promise<void>;
  closed: Promise<void>;
}

/** Server whose handler leaves its requests open. */
interface OpenRequests {
  server: ReturnType<typeof createHttpServer>;
  /** Responses by path. */
  responses: Map<string, ServerResponse>;
  connect(): Promise<PipelinedClient>;
}

/** Waits for some turns of the event loop, in which what was read is parsed. */
async function turns(): Promise<void> {
  for (let turn = 0; turn < 5; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

async function startServer(
  onRequest: (request: IncomingMessage, response: ServerResponse) => void =
    () => {},
): Promise<OpenRequests> {
  const responses = new Map<string, ServerResponse>();
  const accepted: Socket[] = [];
  const server = createHttpServer((request, response) => {
    responses.set(request.url ?? "", response);
    onRequest(request, response);
  });
  server.on("connection", (socket: Socket) => accepted.push(socket));
  const address = await listenHttp(server, `${HOST}:0`);
  return {
    server,
    responses,
    async connect() {
      const count = accepted.length;
      const socket = connect(Number(address.split(":")[1]), HOST);
      let received = "";
      let sentBytes = 0;
      socket.on("data", (bytes) => {
        received += bytes;
      });
      socket.on("error", () => {});
      const closed = new Promise<void>((resolve) =>
        socket.once("close", () => resolve())
      );
      await eventually(
        "the connection is accepted",
        () => Promise.resolve(accepted.length > count),
      );
      const peer = accepted[count];
      return {
        socket,
        received: () => received,
        closed,
        async send(text) {
          sentBytes += text.length;
          socket.write(text);
          await eventually(
            "the server has read the bytes",
            () =>
              Promise.resolve(peer.bytesRead >= sentBytes || peer.destroyed),
          );
          await turns();
        },
      };
    },
  };
}

const request = (path: string, headers = "") =>
  `GET ${path} HTTP/1.1\r\nhost: a\r\n${headers}\r\n`;

/** Answer of a server that sends `body` as `GET /path` was handled. */
function respond({ responses }: OpenRequests, path: string): void {
  const response = responses.get(path)!;
  response.writeHead(200, { "content-length": path.length });
  response.end(path);
}

/** The statuses of the responses in a text, and their bodies' paths. */
function statuses(received: string): string[] {
  return received.match(/HTTP\/1\.1 \d+/g)?.map((line) => line.slice(9)) ?? [];
}

const malformedRequests: [name: string, text: string, status: string][] = [
  [
    "a bad header line",
    "GET /b HTTP/1.1\r\nhost: a\r\nno colon\r\n\r\n",
    "400",
  ],
  ["bytes that are no HTTP", "\x00\x01\x02 what is this\r\n\r\n", "400"],
  [
    "a head over the limit",
    request("/b", `x: ${"a".repeat(20_000)}\r\n`),
    "431",
  ],
  [
    "two lengths",
    "POST /b HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n" +
    "content-length: 40\r\n\r\nabcd",
    "400",
  ],
];

for (const [name, text, status] of malformedRequests) {
  test(`${name} behind requests that run`, async (t) => {
    const open = await startServer();
    const client = await open.connect();
    await client.send(request("/one") + request("/two"));
    await client.send(text);
    respond(open, "/two");
    respond(open, "/one");
    await client.closed;
    t.same(statuses(client.received()), ["200", "200", status]);
    t.match(
      client.received(),
      /\/one[^]*\/two/,
      "in the order of the requests",
    );
    await closeHttp(open.server);
  });

  test(`${name} behind nothing`, async (t) => {
    const open = await startServer();
    const client = await open.connect();
    await client.send(text);
    await client.closed;
    t.same(statuses(client.received()), [status]);
    await closeHttp(open.server);
  });
}

test("a malformed body behind a request that runs", async (t) => {
  const open = await startServer();
  const client = await open.connect();
  const post =
    "POST /two HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
  await client.send(request("/one") + post);
  await client.send("no length\r\n");
  respond(open, "/one");
  await client.closed;
  t.same(statuses(client.received()), ["200", "400"]);
  t.ok(client.received().includes("/one"));
  await closeHttp(open.server);
});

test("a malformed body whose response has begun", async (t) => {
  const open = await startServer((_, response) => {
    response.writeHead(200, { "content-length": 100 });
    response.write("begun");
  });
  const client = await open.connect();
  const post =
    "POST /one HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
  await client.send(post);
  await client.send("no length\r\n");
  await client.closed;
  t.same(statuses(client.received()), ["200"]);
  t.match(client.received(), /begun$/, "nothing follows the interrupted body");
  await closeHttp(open.server);
});

test("requests behind one that asked to close the connection", async (t) => {
  const open = await startServer();
  const client = await open.connect();
  await client.send(
    request("/one", "connection: close\r\n") + request("/two"),
  );
  respond(open, "/one");
  await client.closed;
  t.same(statuses(client.received()), ["200"]);
  t.match(client.received(), /\/one$/);
  t.notOk(open.responses.has("/two"), "nothing behind the close is run");
  await closeHttp(open.server);
});

test("a head that does not end behind a request that runs", async (t) => {
  const open = await startServer();
  open.server.headersTimeout = 1;
  const client = await open.connect();
  await client.send(request("/one") + "GET /two HTTP/1.1\r\nhost:");
  const timedOut = new Promise((resolve) =>
    open.server.once("clientError", resolve)
  );
  await timedOut;
  respond(open, "/one");
  await client.closed;
  t.same(statuses(client.received()), ["200", "408"]);
  t.ok(client.received().includes("/one"));
  await closeHttp(open.server);
});

test("a handler that fails behind a request that runs", async (t) => {
  const open = await startServer((request, response) => {
    if (request.url === "/two") {
      response.writeHead(200, { "content-length": 100 });
      response.write("begun");
      abortResponse(response);
    }
  });
  const client = await open.connect();
  await client.send(request("/one") + request("/two"));
  respond(open, "/one");
  await client.closed;
  t.match(client.received(), /\r\n\r\n\/oneHTTP/, "the first is complete");
  t.notOk(client.received().includes("x".repeat(100)));
  await closeHttp(open.server);
});

test("a handler that fails alone on its connection", async (t) => {
  const open = await startServer((_, response) => abortResponse(response));
  const client = await open.connect();
  await client.send(request("/one"));
  await client.closed;
  t.equal(client.received(), "");
  await closeHttp(open.server);
});

test("a stop beside a caller that left between its responses", async (t) => {
  const open = await startServer((request, response) => {
    if (request.url !== "/one") {
      response.writeHead(200, { "content-length": 1 });
      response.end("x");
    }
  });
  const left = await open.connect();
  // The second response is complete, but queued behind the first.
  await left.send(request("/one") + request("/two"));
  left.socket.destroy();
  await left.closed;
  const kept = await open.connect();
  await kept.send(request("/kept"));
  await eventually(
    "the response has come",
    () => Promise.resolve(kept.received().endsWith("x")),
  );
  await closeHttp(open.server);
  await kept.closed;
  t.match(kept.received(), /x$/);
});

test("a stop closes an idle connection beside a slow reader", async (t) => {
  const open = await startServer((request, response) => {
    const bytes = request.url === "/long" ? 64 * 1024 * 1024 : 1;
    response.writeHead(200, { "content-length": bytes });
    response.end(Buffer.alloc(bytes, "x"));
  });
  const slow = await open.connect();
  slow.socket.pause();
  await slow.send(request("/long"));
  const kept = await open.connect();
  await kept.send(request("/kept"));
  await eventually(
    "the response has come",
    () => Promise.resolve(kept.received().endsWith("x")),
  );
  const closed = closeHttp(open.server);
  await kept.closed;
  t.pass("the idle connection is closed before the slow reader's");
  slow.socket.resume();
  await slow.closed;
  t.match(slow.received(), /x$/);
  await closed;
});

test("a malformed body during a stop", async (t) => {
  const open = await startServer();
  const client = await open.connect();
  await client.send(
    "POST /one HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n",
  );
  const closed = closeHttp(open.server);
  await turns();
  await client.send("no length\r\n");
  await client.closed;
  t.same(statuses(client.received()), ["400"]);
  await closed;
});
