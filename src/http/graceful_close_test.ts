import { connect } from "node:net";
import { test } from "tap";
import { closeHttp, createHttpServer, listenHttp } from "./server.ts";

const CHUNK = Buffer.alloc(64 * 1024, "x");
/** Enough chunks to fill the kernel's buffers of a client that does not read. */
const CHUNKS = 512;

test("a graceful close does not truncate a response that a slow client still reads", async (t) => {
  let onWritten = () => {};
  const written = new Promise<void>((resolve) => {
    onWritten = resolve;
  });
  const server = createHttpServer((_, response) => {
    const headers = { "content-length": CHUNKS * CHUNK.length };
    response.writeHead(200, headers);
    for (let count = 0; count < CHUNKS; count++) {
      response.write(CHUNK);
    }
    response.end();
    onWritten();
  });
  const address = await listenHttp(server, "127.0.0.1:0");
  const client = connect(Number(address.split(":")[1]), "127.0.0.1");
  client.on("error", () => {});
  client.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  await written;
  // The client starts reading after the server has closed idle connections.
  const closed = closeHttp(server);
  await new Promise((resolve) => setTimeout(resolve, 700));
  let received = 0;
  client.on("data", (bytes) => {
    received += bytes.length;
  });
  await new Promise((resolve) => client.once("close", resolve));
  await closed;
  t.ok(received > CHUNKS * CHUNK.length, `${received} bytes received`);
});

test("a graceful close closes a keep-alive connection once its response has ended", async (t) => {
  let end = () => {};
  const server = createHttpServer((_, response) => {
    response.writeHead(200, { "content-length": 1 });
    response.flushHeaders();
    end = () => response.end("x");
  });
  const address = await listenHttp(server, "127.0.0.1:0");
  const client = connect(Number(address.split(":")[1]), "127.0.0.1");
  client.on("error", () => {});
  client.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await new Promise((resolve) => client.once("data", resolve));
  const closed = closeHttp(server);
  // The response ends after the server has closed idle connections once.
  await new Promise((resolve) => setTimeout(resolve, 700));
  end();
  const open = new Promise((resolve) => setTimeout(resolve, 10_000, "open"));
  t.not(await Promise.race([closed, open]), "open");
  client.destroy();
});
