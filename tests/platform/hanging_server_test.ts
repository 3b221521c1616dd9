/**
 * A server that never answers some requests, nor anything further on their
 * connections, as one that cannot queue them: each ends at its timeout with an
 * answer that promises nothing, and its slot and connection are not used again.
 */
import type { Socket } from "node:net";
import { test } from "tap";
import { eventually } from "../processes.ts";
import { answerNormally, sendRequest, startServingHarness } from "./harness.ts";

/** Slots that the harness's server announces. */
const SLOTS = 8;
const GATEWAY_TIMEOUT = 504;
const HEARTBEAT_MS = 1_000;

test("requests that a server never answers", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  // A run that may not be repeated holds its slot for ten seconds, and a server
  // that is silent for as long counts as gone.
  const heartbeats = setInterval(
    () => void harness.sendHeartbeat(),
    HEARTBEAT_MS,
  );
  t.teardown(() => clearInterval(heartbeats));
  /** Connections on which a request hangs. */
  const hanging = new Set<Socket>();
  let behindHanging = 0;
  harness.setBehaviour((received, response) => {
    const socket = response.socket!;
    behindHanging += hanging.has(socket) ? 1 : 0;
    if (received.url.includes("hang")) {
      hanging.add(socket);
    } else {
      answerNormally(received, response);
    }
  });
  for (
    const [method, path] of [["GET", "/read/"], ["POST", "/pay/"]] as const
  ) {
    hanging.clear();
    const replies = Array.from(
      { length: SLOTS },
      (_, index) =>
        sendRequest(harness, `${path}hang`, {
          method,
          id: `hang-${index}`,
          body: method === "POST" ? "{}" : undefined,
        }),
    );
    await eventually("requests hang", () => hanging.size > 0);
    const statuses = (await Promise.all(replies)).map(({ status }) => status);
    const hung = harness.received.filter(({ url, method: one }) =>
      url.includes("hang") && one === method
    );
    t.equal(
      statuses.filter((status) => status === GATEWAY_TIMEOUT).length,
      new Set(hung.map(({ headers }) => headers["x-mustardcross-request-id"]))
        .size,
      `${method}: none that reached the server is said not to have run`,
    );
    await eventually(
      "the connections are closed",
      () => [...hanging].every((socket) => socket.destroyed),
    );
    await eventually(
      "the slots are free again",
      () => harness.process.node!.guard.load().inFlight === 0,
    );
    await eventually(
      "the next request is answered",
      async () => (await sendRequest(harness, "/read/next")).status === 200,
    );
  }
  t.equal(behindHanging, 0, "nothing is sent behind a request that hangs");
});
