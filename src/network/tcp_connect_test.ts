import { createServer } from "node:net";
import { test } from "tap";
import { tcpNetwork } from "./tcp.ts";

const CONNECT_MS = 30;
/** Time for which the process is held up, in milliseconds. */
const HELD_UP_MS = 150;

test("a process that was held up does not take a peer for unreachable", async (t) => {
  const server = createServer((socket) => socket.resume());
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as { port: number };
  const connecting = tcpNetwork.connect(`127.0.0.1:${port}`, CONNECT_MS);
  const until = performance.now() + HELD_UP_MS;
  while (performance.now() < until) {
    // The kernel connects meanwhile, and nobody reads of it.
  }
  const channel = await connecting;
  t.notOk(channel.closed);
  channel.close();
  server.close();
});
