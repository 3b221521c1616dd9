/**
 * Guards against a call that removes a server and that its node reads late: the
 * server may have started again under its id, and the call would remove the new
 * start. A call of a server that still leaves has its effect.
 */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "tap";
import { stallProcess } from "../stall.ts";
import type { CloseMode } from "../stall_clients.ts";
import { eventually } from "../processes.ts";
import {
  callUntilClear,
  type Harness,
  HOST,
  INSTANCE,
  sendRequest,
  startServingHarness,
} from "./harness.ts";

/** Removes an instance while the process stalls. */
async function removeLate(
  harness: Harness,
  options: { closeMode: CloseMode; id?: string },
): Promise<string[]> {
  const { closeMode, id = INSTANCE } = options;
  return await stallProcess({
    groups: [{
      port: Number(new URL(harness.nodeApi).port),
      closeMode,
      until: ["\r\n\r\n"],
      payloads: [
        Buffer.from(`DELETE /instances/${id} HTTP/1.1\r\nhost: node\r\n\r\n`),
      ],
    }],
  });
}

async function isServed(harness: Harness): Promise<boolean> {
  return (await sendRequest(harness, "/read/1")).status === 200;
}

/** Time in which a late call would have its effect. */
function settle(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 700));
}

for (const closeMode of ["fin", "rst"] as const) {
  test(`a late removal of an earlier start (${closeMode}) does not stop a new one`, async (t) => {
    const harness = await startServingHarness();
    t.teardown(harness.stop);
    t.equal((await harness.sendHeartbeat({ born: 2_000 })).status, 200);
    await eventually("the new start is served", () => isServed(harness));
    await removeLate(harness, { closeMode });
    await settle();
    t.ok(await isServed(harness));
    // Nor are later starts of an id that the node does not know rejected.
    await removeLate(harness, { closeMode, id: "i-two" });
    await settle();
    const next = await harness.sendHeartbeat({ born: 3_000 }, "i-two");
    t.equal(next.status, 200);
  });
}

test("a late removal of a server that leaves stops requests to it", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  harness.setHealthy(false);
  await removeLate(harness, { closeMode: "fin" });
  await settle();
  t.notOk(await isServed(harness));
});

test("a late removal whose sender waits is acknowledged, and again", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  const [answer] = await removeLate(harness, { closeMode: "stay" });
  t.match(answer, /^HTTP\/1\.1 200 /);
  t.notOk(await isServed(harness));
  const again = await callUntilClear(
    `${harness.nodeApi}/instances/${INSTANCE}`,
    {
      method: "DELETE",
    },
  );
  t.equal(again.status, 200);
});

test("a removal that comes long after its connection does not stop a healthy server", async (t) => {
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  const socket = connect(Number(new URL(harness.nodeApi).port), HOST);
  t.teardown(() => socket.destroy());
  await once(socket, "connect");
  await new Promise((resolve) => setTimeout(resolve, 1_100));
  const call = `DELETE /instances/${INSTANCE} HTTP/1.1\r\nhost: node\r\n\r\n`;
  socket.write(call);
  const [late] = await once(socket, "data");
  t.match(String(late), /^HTTP\/1\.1 503 /);
  t.ok(await isServed(harness));
  socket.write(call);
  const [again] = await once(socket, "data");
  t.match(String(again), /^HTTP\/1\.1 200 /, "it may be sent again");
  t.notOk(await isServed(harness));
});
