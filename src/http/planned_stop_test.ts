import { connect } from "node:net";
import { test } from "tap";
import { closeHttp, createHttpServer, listenHttp } from "./server.ts";

const PART = Buffer.alloc(64 * 1024, "x");
/** More than the kernel keeps for a caller that does not read. */
const PARTS = 512;

test("a planned stop does not cut an answer that a slow caller still reads", async (t) => {
  let onWritten = () => {};
  const written = new Promise<void>((resolve) => {
    onWritten = resolve;
  });
  const server = createHttpServer((_, response) => {
    const head = { "content-length": PARTS * PART.length };
    response.writeHead(200, head);
    for (let part = 0; part < PARTS; part++) {
      response.write(PART);
    }
    response.end();
    onWritten();
  });
  const address = await listenHttp(server, "127.0.0.1:0");
  const caller = connect(Number(address.split(":")[1]), "127.0.0.1");
  caller.on("error", () => {});
  caller.write("GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  await written;
  // Idle connections are closed; the answer's caller reads on after that.
  const closed = closeHttp(server);
  await new Promise((resolve) => setTimeout(resolve, 700));
  let received = 0;
  caller.on("data", (bytes) => {
    received += bytes.length;
  });
  await new Promise((resolve) => caller.once("close", resolve));
  await closed;
  t.ok(received > PARTS * PART.length, `${received} bytes came`);
});

test("a kept connection whose answer began before a planned stop does not hold it up", async (t) => {
  let end = () => {};
  const server = createHttpServer((_, response) => {
    response.writeHead(200, { "content-length": 1 });
    response.flushHeaders();
    end = () => response.end("x");
  });
  const address = await listenHttp(server, "127.0.0.1:0");
  const caller = connect(Number(address.split(":")[1]), "127.0.0.1");
  caller.on("error", () => {});
  caller.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  await new Promise((resolve) => caller.once("data", resolve));
  const closed = closeHttp(server);
  // By then idle connections have been closed once.
  await new Promise((resolve) => setTimeout(resolve, 700));
  end();
  const open = new Promise((resolve) => setTimeout(resolve, 10_000, "open"));
  t.not(await Promise.race([closed, open]), "open");
  caller.destroy();
});
