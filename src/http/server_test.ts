import { connect } from "node:net";
import { test } from "tap";
import { closeHttp, createHttpServer, listenHttp } from "./server.ts";

test("a graceful close does not wait for a connection without a request", async (t) => {
  const server = createHttpServer((_, response) => response.end());
  const address = await listenHttp(server, "127.0.0.1:0");
  const accepted = new Promise((resolve) => server.once("connection", resolve));
  const client = connect(Number(address.split(":")[1]), "127.0.0.1");
  client.on("error", () => {});
  let received = 0;
  client.on("data", (bytes) => {
    received += bytes.length;
  });
  await accepted;
  const closed = new Promise((resolve) => client.once("close", resolve));
  await closeHttp(server);
  await closed;
  t.equal(
    received,
    0,
    "the connection is closed without a response about a header timeout",
  );
});

/** Connections in the accept queue when the close begins. */
const QUEUED_CONNECTIONS = 50;

/** Connects and sends a request; resolves with its status line or an error. */
function fetchStatusLine(port: number): Promise<string> {
  return new Promise((resolve) => {
    const client = connect(port, "127.0.0.1");
    let received = "";
    client.on("connect", () => client.write("GET / HTTP/1.0\r\n\r\n"));
    client.on("data", (bytes) => {
      received += bytes;
    });
    client.on("error", (error) => resolve(String(error)));
    client.on("end", () => resolve(received.split("\r\n")[0]));
  });
}

test("a graceful close serves the connections in the accept queue", async (t) => {
  const server = createHttpServer((_, response) => response.end("done"));
  const address = await listenHttp(server, "127.0.0.1:0");
  const port = Number(address.split(":")[1]);
  const responses = Array.from(
    { length: QUEUED_CONNECTIONS },
    () => fetchStatusLine(port),
  );
  // The kernel has established the connections, but none is accepted yet.
  await Promise.resolve();
  const closed = closeHttp(server);
  t.same(new Set(await Promise.all(responses)), new Set(["HTTP/1.1 200 OK"]));
  await closed;
});
