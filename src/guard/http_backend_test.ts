import { createServer, type Server, type Socket } from "node:net";
import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { type Backend, BackendError, type BackendRequest } from "./backend.ts";
import { createHttpBackend } from "./http_backend.ts";

const HOST = "127.0.0.1";
const UNFRAMED = "HTTP/1.1 200 OK\r\nx-head: 1\r\n\r\n";

function listen(serve: (socket: Socket) => void): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => serve(socket));
  });
  return new Promise((resolve) =>
    server.listen(0, HOST, () => resolve(server))
  );
}

function backendOf(server: Server): Backend {
  const bound = server.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  return createHttpBackend({
    address: `${HOST}:${port}`,
    connections: 2,
    connectTimeoutMs: 500,
  });
}

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

async function bodyOf(backend: Backend): Promise<string> {
  const { body } = await backend.send(REQUEST);
  if (body instanceof Uint8Array) {
    return Buffer.from(body).toString();
  }
  const parts: Uint8Array[] = [];
  for await (const part of body) {
    parts.push(part);
  }
  return Buffer.concat(parts).toString();
}

/** Step at which reading an answer fails; empty if it does not. */
async function stepOfFailure(server: Server): Promise<string> {
  try {
    await bodyOf(backendOf(server));
    return "";
  } catch (error) {
    return error instanceof BackendError ? error.step : String(error);
  }
}

test("an answer without a length ends with its connection", async (t) => {
  const server = await listen((socket) => socket.end(`${UNFRAMED}whole`));
  t.teardown(() => server.close());
  t.equal(await bodyOf(backendOf(server)), "whole");
});

test("an answer without a length that is reset is not whole", async (t) => {
  const server = await listen((socket) => {
    socket.write(`${UNFRAMED}par`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  t.teardown(() => server.close());
  t.equal(await stepOfFailure(server), "backend.reset");
});

test("an answer without a length whose reset comes with its bytes is not whole", async (t) => {
  const server = await listen((socket) => {
    socket.write(`${UNFRAMED}par`);
    socket.resetAndDestroy();
  });
  t.teardown(() => server.close());
  t.equal(await stepOfFailure(server), "backend.reset");
});

test("an answer that is shorter than its length is not whole", async (t) => {
  const server = await listen((socket) =>
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart")
  );
  t.teardown(() => server.close());
  t.equal(await stepOfFailure(server), "backend.reset");
});

test("bytes behind a whole answer do not spoil it", async (t) => {
  for (const behind of ["garbage", UNFRAMED]) {
    const server = await listen((socket) =>
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole${behind}`)
    );
    t.teardown(() => server.close());
    t.equal(await bodyOf(backendOf(server)), "whole");
  }
});

test("a server that does not listen has run nothing", async (t) => {
  const server = await listen(() => {});
  const backend = backendOf(server);
  await new Promise((resolve) => server.close(resolve));
  const failed = await backend.send(REQUEST).catch((error) => error);
  t.equal((failed as BackendError).step, "backend.connect");
});

test("a connection that the server has ended is not used again", async (t) => {
  let connections = 0;
  const server = await listen((socket) => {
    connections++;
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
  });
  t.teardown(() => server.close());
  const backend = backendOf(server);
  t.equal(await bodyOf(backend), "whole");
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.equal(await bodyOf(backend), "whole");
  t.equal(connections, 2);
});

test("requests beyond the connections wait for one", async (t) => {
  let open = 0;
  let most = 0;
  const server = createServer((socket) => {
    open++;
    most = Math.max(most, open);
    socket.on("close", () => open--);
    socket.on("error", () => {});
    socket.on("data", () => {
      setTimeout(
        () => socket.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole"),
        5,
      );
    });
  });
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  t.teardown(() => server.close());
  const backend = backendOf(server);
  const bodies = await Promise.all(
    Array.from({ length: 8 }, () => bodyOf(backend)),
  );
  t.same(new Set(bodies), new Set(["whole"]));
  t.equal(most, 2);
  await backend.close();
});
