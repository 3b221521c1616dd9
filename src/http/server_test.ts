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
