/**
 * Limits on requests that are sent ahead: a client within them is served whole
 * and in order, uploads go on, a close is noticed, and a planned stop ends.
 */
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import {
  type BudgetedConnection,
  createClientBudget,
} from "./client_budget.ts";
import { clientLimitsSchema } from "./client_limits.ts";
import { closeHttp, createHttpServer, listenHttp } from "./server.ts";

const HOST = "127.0.0.1";
const AHEAD = 4;

interface Held {
  /** Responses of the requests that were handled, by path. */
  responses: Map<string, ServerResponse>;
  /** Bytes of bodies that were received. */
  bodyBytes(): number;
  connect(): Client;
  close(): Promise<void>;
}

interface Client {
  socket: Socket;
  received(): string;
  closed: Promise<void>;
}

/** Starts a server that handles requests and does not answer by itself. */
async function startHolding(maxConnections = 10): Promise<Held> {
  const responses = new Map<string, ServerResponse>();
  let bodyBytes = 0;
  const limits = clientLimitsSchema.parse({ max_requests_ahead: AHEAD });
  const server = createHttpServer((request, response) => {
    responses.set(request.url ?? "", response);
    request.on("data", (part) => bodyBytes += part.length);
  }, { clients: createClientBudget({ limits }), maxConnections });
  const port = Number((await listenHttp(server, `${HOST}:0`)).split(":")[1]);
  return {
    responses,
    bodyBytes: () => bodyBytes,
    connect() {
      const socket = connect(port, HOST);
      let received = "";
      socket.on("data", (part) => received += String(part));
      socket.on("error", () => {});
      return {
        socket,
        received: () => received,
        closed: new Promise((resolve) => socket.once("close", () => resolve())),
      };
    },
    close: () => closeHttp(server),
  };
}

async function until(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

const get = (path: string) => `GET ${path} HTTP/1.1\r\nhost: a\r\n\r\n`;

function gets(count: number): string {
  return Array.from({ length: count }, (_, index) => get(`/${index}`)).join("");
}

/** Waits until no further request can be on its way to the handler. */
async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 50));
}

test("requests sent ahead are handled as earlier ones are answered", async (t) => {
  const held = await startHolding();
  const client = held.connect();
  client.socket.write(gets(10));
  await until(() => held.responses.size >= AHEAD);
  await settle();
  t.equal(held.responses.size, AHEAD);
  for (let index = 0; index < 10; index++) {
    await until(() => held.responses.has(`/${index}`));
    held.responses.get(`/${index}`)!.end(`<${index}>`);
  }
  await until(() => client.received().includes("<9>"));
  t.same(
    client.received().match(/<\d>/g)?.join(""),
    "<0><1><2><3><4><5><6><7><8><9>",
  );
  await held.close();
});

test("an upload behind as many requests as are allowed is read", async (t) => {
  const held = await startHolding();
  const client = held.connect();
  const size = 300_000;
  client.socket.write(gets(AHEAD - 1));
  client.socket.write(
    `POST /up HTTP/1.1\r\nhost: a\r\ncontent-length: ${size}\r\n\r\n`,
  );
  // Parts that look like the ends of heads are no requests.
  client.socket.write("\r\n\r\n".repeat(size / 4));
  await until(() => held.responses.has("/up"));
  for (let index = 0; index < AHEAD - 1; index++) {
    held.responses.get(`/${index}`)!.end();
  }
  await until(() => held.bodyBytes() === size);
  t.equal(held.bodyBytes(), size);
  held.responses.get("/up")!.end();
  await held.close();
});

test("an upload goes on while the client does not read its answer", async (t) => {
  const held = await startHolding();
  const client = held.connect();
  client.socket.pause();
  const size = 400_000;
  client.socket.write(
    `POST /up HTTP/1.1\r\nhost: a\r\ncontent-length: ${size}\r\n\r\n`,
  );
  await until(() => held.responses.has("/up"));
  held.responses.get("/up")!.write(Buffer.alloc(16_000_000));
  client.socket.write(Buffer.alloc(size));
  await until(() => held.bodyBytes() === size);
  t.equal(held.bodyBytes(), size);
  client.socket.destroy();
  await held.close();
});

test("the close of a client with requests ahead is noticed", async (t) => {
  const held = await startHolding();
  const client = held.connect();
  client.socket.write(gets(10));
  await until(() => held.responses.size === AHEAD);
  const [first] = held.responses.values();
  const noticed = new Promise((resolve) => first.once("close", resolve));
  client.socket.destroy();
  await noticed;
  t.equal(held.responses.size, AHEAD);
  await held.close();
});

test("a head that has begun is read to its end, beyond the limits", async (t) => {
  const held = await startHolding();
  const client = held.connect();
  client.socket.pause();
  client.socket.write(`${get("/0")}GET /1 HTTP/1.1\r\nho`);
  await until(() => held.responses.has("/0"));
  await settle();
  held.responses.get("/0")!.write(Buffer.alloc(16_000_000));
  client.socket.write(`st: a\r\n\r\n${get("/2")}`);
  // Otherwise the head would time out while the client reads the answer.
  for (let wait = 0; wait < 20 && !held.responses.has("/1"); wait++) {
    await settle();
  }
  await settle();
  t.same([...held.responses.keys()], ["/0", "/1"]);
  client.socket.destroy();
  await held.close();
});

test("an upload loses nothing when its connection is to be closed", async (t) => {
  const limits = clientLimitsSchema.parse({
    max_requests_ahead: 2,
    max_pending_requests: 2,
    max_buffered_bytes: 1,
  });
  const timer = createFakeTimer();
  const budget = createClientBudget({ limits, timer });
  const responses = new Map<string, ServerResponse>();
  let body = "";
  const server = createHttpServer((request, response) => {
    responses.set(request.url ?? "", response);
    request.on("data", (part) => body += String(part));
  }, { clients: budget });
  const address = await listenHttp(server, `${HOST}:0`);
  const socket = connect(Number(address.split(":")[1]), HOST);
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.on("error", () => {});
  socket.resume();
  const head = "POST /up HTTP/1.1\r\nhost: a\r\ncontent-length: 6\r\n\r\n";
  socket.write(`${get("/0")}${head}abc`);
  await until(() => responses.has("/up"));
  await settle();
  budget.check();
  responses.get("/0")!.end();
  await settle();
  socket.write("defghi");
  await Promise.race([closed, settle()]);
  t.ok("abcdef".startsWith(body), `the handler got ${body}`);
  socket.destroy();
  await closeHttp(server);
});

test("a planned stop answers what is handled and drops what is not read", async (t) => {
  const held = await startHolding();
  const client = held.connect();
  client.socket.write(gets(2_000));
  await until(() => held.responses.size === AHEAD);
  const closed = held.close();
  await settle();
  for (const response of held.responses.values()) {
    response.end("<done>");
  }
  await client.closed;
  await closed;
  t.equal(client.received().match(/<done>/g)?.length, AHEAD);
  t.equal(held.responses.size, AHEAD);
});

test("a new connection takes the place of an idle one", async (t) => {
  const held = await startHolding(2);
  const busy = held.connect();
  busy.socket.write(get("/busy"));
  await until(() => held.responses.has("/busy"));
  const idle = held.connect();
  // Connections may be replaced a second after their last input.
  await new Promise((resolve) => setTimeout(resolve, 1_100));
  const next = held.connect();
  next.socket.write(get("/next"));
  await idle.closed;
  await until(() => held.responses.has("/next"));
  const refused = held.connect();
  await refused.closed;
  held.responses.get("/busy")!.end("<busy>");
  held.responses.get("/next")!.end("<next>");
  await until(() => next.received().includes("<next>"));
  t.match(busy.received(), /<busy>/);
  await held.close();
});

test("a request on a connection for which there is no room is refused", async (t) => {
  const held = await startHolding(1);
  const busy = held.connect();
  busy.socket.write(get("/busy"));
  await until(() => held.responses.has("/busy"));
  for (
    const [name, text] of Object.entries({
      "a request": get("/refused"),
      "several requests": gets(3),
      "a request with a body": "POST /refused HTTP/1.1\r\nhost: a\r\n" +
        "content-length: 100000\r\n\r\nthe first bytes",
    })
  ) {
    const refused = held.connect();
    refused.socket.write(text);
    await refused.closed;
    t.match(refused.received(), /^HTTP\/1.1 503 /, name);
    t.match(refused.received(), /retry-after: 1\r\n/i, name);
    t.equal(refused.received().split("HTTP/1.1").length, 2, "one response");
  }
  t.same([...held.responses.keys()], ["/busy"]);
  held.responses.get("/busy")!.end("<busy>");
  await until(() => busy.received().includes("<busy>"));
  await held.close();
});

test("connections for which there is no room are bounded", async (t) => {
  const held = await startHolding(1);
  const busy = held.connect();
  busy.socket.write(get("/busy"));
  await until(() => held.responses.has("/busy"));
  let closed = 0;
  const waiting = Array.from({ length: 70 }, () => held.connect());
  waiting.forEach((one) => void one.closed.then(() => closed++));
  await until(() => closed >= 6);
  const last = held.connect();
  last.socket.write(get("/last"));
  await last.closed;
  t.match(last.received(), /^HTTP\/1.1 503 /, "a new one is told so");
  await until(() => closed === waiting.length);
  held.responses.get("/busy")!.end("<busy>");
  await until(() => busy.received().includes("<busy>"));
  await held.close();
});

test("a client with one request is not behind those that send ahead", async (t) => {
  const budget = createClientBudget();
  const order: string[] = [];
  const server = createHttpServer((request, response) => {
    order.push(request.url ?? "");
    response.end();
  }, { clients: budget });
  const address = await listenHttp(server, `${HOST}:0`);
  const port = Number(address.split(":")[1]);
  const open = async () => {
    const socket = connect(port, HOST);
    socket.on("error", () => {});
    socket.resume();
    await new Promise((resolve) => socket.once("connect", resolve));
    return socket;
  };
  const crowd = await Promise.all(Array.from({ length: 20 }, open));
  const ordinary = await open();
  crowd.forEach((socket) => socket.write(get("/ahead").repeat(1_000)));
  await until(() => order.length > 500);
  const before = order.length;
  ordinary.write(get("/ordinary"));
  await until(() => order.includes("/ordinary"));
  const behind = order.indexOf("/ordinary") - before;
  t.ok(behind < 2_000, `behind ${behind} requests of ${20 * 1_000}`);
  [...crowd, ordinary].forEach((socket) => socket.destroy());
  await closeHttp(server);
});

test("a client that sends ahead without end is cut off after the pending answers", async (t) => {
  const limits = clientLimitsSchema.parse({ max_ahead_bytes: 20_000 });
  const server = createHttpServer((_, response) => {
    response.end("x".repeat(1_000));
  }, { clients: createClientBudget({ limits }) });
  const address = await listenHttp(server, `${HOST}:0`);
  const socket = connect(Number(address.split(":")[1]), HOST);
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (part) => received += String(part));
  const closed = new Promise((resolve) => socket.once("close", resolve));
  socket.write(get("/").repeat(500));
  await closed;
  t.ok(received.length >= 20_000 && received.length < 100_000);
  t.ok(received.endsWith("x".repeat(1_000)), "the last answer is whole");
  await closeHttp(server);
});

test("answers to requests one after the other are not counted as ahead", async (t) => {
  const limits = clientLimitsSchema.parse({ max_ahead_bytes: 5_000 });
  const server = createHttpServer((_, response) => {
    response.end("x".repeat(1_000));
  }, { clients: createClientBudget({ limits }) });
  const address = await listenHttp(server, `${HOST}:0`);
  const socket = connect(Number(address.split(":")[1]), HOST);
  let answers = 0;
  socket.on(
    "data",
    (part) => answers += String(part).split("HTTP/1.1").length - 1,
  );
  for (let count = 1; count <= 30; count++) {
    socket.write(get("/"));
    await until(() => answers === count);
  }
  t.equal(socket.destroyed, false);
  socket.destroy();
  await closeHttp(server);
});

test("input beyond the limit of all connections is dropped as it comes", async (t) => {
  const limits = clientLimitsSchema.parse({
    max_requests_ahead: 2,
    max_buffered_bytes: 400_000,
  });
  // The periodic check does not run.
  const budget = createClientBudget({ limits, timer: createFakeTimer() });
  let held = 0;
  let mostHeld = 0;
  const responses: ServerResponse[] = [];
  const server = createHttpServer((_, response) => responses.push(response), {
    clients: {
      ...budget,
      changeHeld(change) {
        budget.changeHeld(change);
        held += change;
        mostHeld = Math.max(mostHeld, held);
      },
    },
  });
  const address = await listenHttp(server, `${HOST}:0`);
  const port = Number(address.split(":")[1]);
  const crowd = Array.from({ length: 30 }, () => connect(port, HOST));
  for (const socket of crowd) {
    socket.on("error", () => {});
    socket.write(get("/").repeat(3_000));
  }
  await until(() => mostHeld > limits.max_buffered_bytes);
  await settle();
  // One connection may exceed the limit by what was read and the system holds.
  const bound = limits.max_buffered_bytes + 2 * 128 * 1024;
  t.ok(mostHeld < bound, `${mostHeld} of ${bound} bytes`);
  crowd.forEach((socket) => socket.destroy());
  // The close of a connection that is not read is noticed after its answers.
  while (held > 0) {
    responses.splice(0).forEach((response) => response.end());
    await settle();
  }
  t.equal(held, 0, "nothing is held once all have left");
  await closeHttp(server);
});

test("only clients that hold much and read nothing are closed", async (t) => {
  const timer = createFakeTimer();
  const limits = clientLimitsSchema.parse({ max_buffered_bytes: 100 });
  const budget = createClientBudget({ limits, timer });
  const shed: string[] = [];
  function add(name: string, heldBytes: number, ahead: boolean) {
    const connection = {
      heldBytes,
      ahead,
      sentBytes: 0,
      shed: () => {
        shed.push(name);
        connection.heldBytes = 0;
      },
    };
    budget.add(connection satisfies BudgetedConnection);
    return connection;
  }
  const slow = add("slow", 90, false);
  add("silent", 50, false);
  budget.check();
  t.same(shed, [], "a reader may pause");
  add("ahead", 60, true);
  budget.check();
  t.same(shed, ["ahead"], "those with requests ahead are first");
  for (let second = 0; second < 6; second++) {
    await timer.advance(1_000);
    slow.sentBytes++;
    budget.check();
  }
  t.same(shed, ["ahead", "silent"], "a slow reader stays");
});

test("answers that are made late and not read are counted", async (t) => {
  const timer = createFakeTimer();
  const limits = clientLimitsSchema.parse({ max_buffered_bytes: 100 });
  const budget = createClientBudget({ limits, timer });
  let closed = 0;
  const connection = {
    heldBytes: 0,
    ahead: false,
    sentBytes: 0,
    shed: () => {
      closed++;
      connection.heldBytes = 0;
    },
  };
  budget.add(connection satisfies BudgetedConnection);
  budget.changePending(1);
  budget.requestCheck();
  await timer.advance(1_000);
  connection.heldBytes = 200;
  await timer.advance(10_000);
  t.equal(closed, 1);
});
