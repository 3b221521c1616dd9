import { connect } from "node:net";
import { test } from "tap";
import { splitAddress } from "../network/channel.ts";
import { startBackendServer } from "./backend_server.ts";

/** Polls, 10 ms apart, within which the server notices a closed connection. */
const MAX_POLLS = 300;

async function waitFor(condition: () => boolean): Promise<boolean> {
  for (let poll = 0; poll < MAX_POLLS && !condition(); poll++) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return condition();
}

test("a slot is released when the caller disconnects while sending the body", async (t) => {
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
  t.ok(await waitFor(() => server.inFlight === 1), "the request has started");
  socket.destroy();
  t.ok(await waitFor(() => server.inFlight === 0), "the slot is released");
  server.crash();
});
