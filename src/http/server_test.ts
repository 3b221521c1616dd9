import { connect } from "node:net";
import { test } from "tap";
import { closeHttp, createHttpServer, listenHttp } from "./server.ts";

test("a connection without a request does not hold up a planned stop", async (t) => {
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
  t.equal(received, 0, "it is closed, not answered after its header timeout");
});

/** Connections that wait to be accepted when the stop begins. */
const WAITING = 50;

/** Connects, and resolves with what a request on that connection brings. */
function ask(port: number): Promise<string> {
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

test("a planned stop takes the connections that wait to be accepted", async (t) => {
  const server = createHttpServer((_, response) => response.end("done"));
  const address = await listenHttp(server, "127.0.0.1:0");
  const port = Number(address.split(":")[1]);
  const answers = Array.from({ length: WAITING }, () => ask(port));
  // The connections come about in the kernel; nobody has accepted them yet.
  await Promise.resolve();
  const closed = closeHttp(server);
  t.same(new Set(await Promise.all(answers)), new Set(["HTTP/1.1 200 OK"]));
  await closed;
});
