import { createServer, type Server, type Socket } from "node:net";
import { test } from "tap";
import { type Backend, BackendError } from "./backend.ts";
import { createFakeServerRequest, fetchBody } from "./fake_server_request.ts";
import { createHttpBackend } from "./http_backend.ts";

const HOST = "127.0.0.1";
const HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\nx-head: 1\r\n\r\n";

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

const REQUEST = createFakeServerRequest();

/** Returns the step at which reading an answer fails; empty if it succeeds. */
async function readFailureStep(server: Server): Promise<string> {
  try {
    await fetchBody(backendOf(server));
    return "";
  } catch (error) {
    return error instanceof BackendError ? error.step : String(error);
  }
}

test("an answer without content-length is complete when its connection ends", async (t) => {
  const server = await listen((socket) =>
    socket.end(`${HEAD_WITHOUT_LENGTH}whole`)
  );
  t.teardown(() => server.close());
  t.equal(await fetchBody(backendOf(server)), "whole");
});

test("an answer without content-length fails when its connection is reset", async (t) => {
  const server = await listen((socket) => {
    socket.write(`${HEAD_WITHOUT_LENGTH}par`, () => {
      setTimeout(() => socket.resetAndDestroy(), 20);
    });
  });
  t.teardown(() => server.close());
  t.equal(await readFailureStep(server), "backend.reset");
});

test("an answer without content-length fails when the reset arrives with its bytes", async (t) => {
  const server = await listen((socket) => {
    socket.write(`${HEAD_WITHOUT_LENGTH}par`);
    socket.resetAndDestroy();
  });
  t.teardown(() => server.close());
  t.equal(await readFailureStep(server), "backend.reset");
});

test("an answer that is shorter than its content-length fails", async (t) => {
  const server = await listen((socket) =>
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart")
  );
  t.teardown(() => server.close());
  t.equal(await readFailureStep(server), "backend.reset");
});

test("bytes after a complete answer do not make it fail", async (t) => {
  for (const trailing of ["garbage", HEAD_WITHOUT_LENGTH]) {
    const server = await listen((socket) =>
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole${trailing}`,
      )
    );
    t.teardown(() => server.close());
    t.equal(await fetchBody(backendOf(server)), "whole");
  }
});

test("a request to a server that does not listen fails as not connected", async (t) => {
  const server = await listen(() => {});
  const backend = backendOf(server);
  await new Promise((resolve) => server.close(resolve));
  const failed = await backend.send(REQUEST).catch((error) => error);
  t.equal((failed as BackendError).step, "backend.connect");
});

test("a connection that the server has ended is not reused", async (t) => {
  let connections = 0;
  const server = await listen((socket) => {
    connections++;
    socket.end("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
  });
  t.teardown(() => server.close());
  const backend = backendOf(server);
  t.equal(await fetchBody(backend), "whole");
  await new Promise((resolve) => setTimeout(resolve, 20));
  t.equal(await fetchBody(backend), "whole");
  t.equal(connections, 2);
});

test("requests beyond the connection limit wait for a free connection", async (t) => {
  let open = 0;
  let maxOpen = 0;
  const server = createServer((socket) => {
    open++;
    maxOpen = Math.max(maxOpen, open);
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
    Array.from({ length: 8 }, () => fetchBody(backend)),
  );
  t.same(new Set(bodies), new Set(["whole"]));
  t.equal(maxOpen, 2);
  await backend.close();
});

test("a body that is not as long as declared is not sent as a whole request", async (t) => {
  for (const length of [5, 15]) {
    let connections = 0;
    let received = "";
    const server = createServer((socket) => {
      connections++;
      socket.on("error", () => {});
      socket.on("data", (bytes) => {
        received += bytes.toString("latin1");
        if (received.endsWith("\r\n\r\n")) {
          socket.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole");
        }
      });
    });
    await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
    t.teardown(() => server.close());
    const backend = backendOf(server);
    const failed = await fetchBody(backend, {
      method: "POST",
      headers: [["content-length", "10"]],
      body: (async function* () {
        yield Buffer.alloc(3, "b");
        while (!received.endsWith("bbb")) {
          await new Promise((resolve) => setTimeout(resolve, 5));
        }
        yield Buffer.alloc(length - 3, "b");
      })(),
    }).catch((error) => error);
    t.equal((failed as BackendError).failure, "aborted");
    const body = received.slice(received.indexOf("\r\n\r\n") + 4);
    t.ok(body.length < 10, "the server does not get a whole body");
    received = "";
    t.equal(await fetchBody(backend), "whole");
    t.equal(connections, 2, "the connection is not used again");
  }
});
