import { createServer } from "node:net";
import { test } from "tap";
import { tcpNetwork } from "./tcp.ts";

const CONNECT_TIMEOUT_MS = 30;
/** Time for which the event loop is blocked. */
const BLOCKED_MS = 150;

test("a connection made during a stall of the process does not time out", async (t) => {
  const server = createServer((socket) => socket.resume());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const connecting = tcpNetwork.connect(
    `127.0.0.1:${port}`,
    CONNECT_TIMEOUT_MS,
  );
  const until = performance.now() + BLOCKED_MS;
  while (performance.now() < until) {
    // The kernel connects while the event loop is blocked.
  }
  const channel = await connecting;
  t.notOk(channel.closed);
  channel.close();
  server.close();
});
