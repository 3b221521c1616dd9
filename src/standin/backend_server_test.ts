import { connect } from "node:net";
import { test } from "tap";
import { splitAddress } from "../network/channel.ts";
import { startBackendServer } from "./backend_server.ts";

/** Turns of 10 ms after which a server has noticed that its caller is gone. */
const TURNS = 300;

async function eventually(condition: () => boolean): Promise<boolean> {
  for (let turn = 0; turn < TURNS && !condition(); turn++) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return condition();
}

test("a caller that leaves within its body gives its slot back", async (t) => {
  const server = await startBackendServer({
    service: "work",
    address: "127.0.0.1:0",
    seed: 1,
  });
  const { host, port } = splitAddress(server.address);
  const socket = connect(port, host);
  socket.write(
    "POST /look HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nab",
  );
  t.ok(await eventually(() => server.inFlight === 1), "it has begun");
  socket.destroy();
  t.ok(await eventually(() => server.inFlight === 0), "its slot is free");
  server.crash();
});
