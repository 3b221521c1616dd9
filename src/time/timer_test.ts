import { connect, createServer, type Socket } from "node:net";
import { test } from "tap";
import { createSystemTimer } from "./timer.ts";

/** Time for which the process is held up, in milliseconds. */
const HELD_UP_MS = 150;
const DUE_MS = 30;

/** Holds up the process: nothing else in it runs meanwhile. */
function holdUp(): void {
  const until = performance.now() + HELD_UP_MS;
  while (performance.now() < until) {
    // Only time goes by.
  }
}

/** Connects two sockets of this process. */
async function socketPair(): Promise<{ one: Socket; other: Socket }> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const accepted = new Promise<Socket>((resolve) =>
    server.once("connection", resolve)
  );
  const { port } = server.address() as { port: number };
  const one = connect(port, "127.0.0.1");
  await new Promise((resolve) => one.once("connect", resolve));
  const other = await accepted;
  server.close();
  return { one, other };
}

for (const kind of ["after", "every"] as const) {
  test(`a process that was held up reads what came before a timer runs: ${kind}`, async (t) => {
    const { one, other } = await socketPair();
    const order: string[] = [];
    other.on("data", () => order.push("bytes"));
    const timer = createSystemTimer();
    await new Promise<void>((resolve) => {
      const due = timer[kind](DUE_MS, () => {
        order.push("timer");
        due.cancel();
        resolve();
      });
      one.write("x", () => holdUp());
    });
    t.same(order, ["bytes", "timer"]);
    one.destroy();
    other.destroy();
  });
}

test("a timer that is late can still be cancelled", async (t) => {
  const timer = createSystemTimer();
  let ran = false;
  const late = timer.after(DUE_MS, () => {
    ran = true;
  });
  setTimeout(() => late.cancel(), DUE_MS + 1);
  holdUp();
  await new Promise((resolve) => setTimeout(resolve, DUE_MS));
  t.notOk(ran);
});
