import { connect, createServer, type Socket } from "node:net";
import { test } from "tap";
import { createSystemTimer } from "./timer.ts";

/** Time for which the event loop is blocked. */
const BLOCKED_MS = 150;
const DELAY_MS = 30;

/** Blocks the event loop. */
function blockEventLoop(): void {
  const until = performance.now() + BLOCKED_MS;
  while (performance.now() < until) {
    // Busy wait.
  }
}

/** Connects two sockets of this process. */
async function socketPair(): Promise<{ client: Socket; peer: Socket }> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const accepted = new Promise<Socket>((resolve) =>
    server.once("connection", resolve)
  );
  const { port } = server.address() as { port: number };
  const client = connect(port, "127.0.0.1");
  await new Promise((resolve) => client.once("connect", resolve));
  const peer = await accepted;
  server.close();
  return { client, peer };
}

for (const kind of ["after", "every"] as const) {
  test(`pending input is read before an overdue timer runs: ${kind}`, async (t) => {
    const { client, peer } = await socketPair();
    const order: string[] = [];
    peer.on("data", () => order.push("bytes"));
    const timer = createSystemTimer();
    await new Promise<void>((resolve) => {
      const subscription = timer[kind](DELAY_MS, () => {
        order.push("timer");
        subscription.cancel();
        resolve();
      });
      client.write("x", () => blockEventLoop());
    });
    t.same(order, ["bytes", "timer"]);
    client.destroy();
    peer.destroy();
  });
}

test("an overdue timer can still be cancelled", async (t) => {
  const timer = createSystemTimer();
  let ran = false;
  const subscription = timer.after(DELAY_MS, () => {
    ran = true;
  });
  setTimeout(() => subscription.cancel(), DELAY_MS + 1);
  blockEventLoop();
  await new Promise((resolve) => setTimeout(resolve, DELAY_MS));
  t.notOk(ran);
});
