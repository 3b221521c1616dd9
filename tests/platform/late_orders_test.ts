/**
 * Guards against an order of an operator that a replica reads seconds after the
 * operator gave it up and sent it elsewhere: it undid an evacuation that was
 * acknowledged meanwhile. Here it is read after a stall of the process.
 */
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "tap";
import { type ClientGroup, type CloseMode } from "../stall_clients.ts";
import { stallProcess } from "../stall.ts";
import {
  callUntilClear,
  callUrl,
  HOST,
  startServingHarness,
  ZONE,
} from "./harness.ts";

const PATH = `/evacuations/${ZONE}`;
const harness = await startServingHarness();
const { control } = harness.process;
const portOf = (url: string): number => Number(new URL(url).port);

function formatOrder(method: "POST" | "DELETE"): string {
  return `${method} ${PATH} HTTP/1.1\r\nhost: control\r\n` +
    "content-length: 0\r\n\r\n";
}

function createOrder(
  method: "POST" | "DELETE",
  closeMode: CloseMode,
): ClientGroup {
  return {
    port: portOf(harness.operator),
    closeMode,
    until: ["\r\n\r\n"],
    payloads: [Buffer.from(formatOrder(method))],
  };
}

function isOut(): boolean {
  return control!.state.domainsOut.has(ZONE);
}

/** Sends an order until it gets a clear answer. */
async function order(method: "POST" | "DELETE"): Promise<number> {
  return (await callUntilClear(harness.operator + PATH, { method })).status;
}

/** Waits out the time after a stall in which orders are not carried out. */
async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 1_200));
}

for (
  const [method, opposite] of [["DELETE", "POST"], ["POST", "DELETE"]] as const
) {
  for (const closeMode of ["fin", "rst", "stay"] as const) {
    test(`a ${method} that is read late (${closeMode}) changes nothing`, async (t) => {
      t.equal(await order(opposite), 200);
      const before = isOut();
      const { version } = control!.state;
      const received = await stallProcess({
        groups: [createOrder(method, closeMode)],
      });
      if (closeMode === "stay") {
        t.match(received[0], /^HTTP\/1\.1 503 /, "it has to be sent again");
      }
      await settle();
      t.equal(isOut(), before);
      t.equal(control!.state.version, version);
    });
  }
}

test("an order whose operator has left is not carried out after a short stall either", async (t) => {
  t.equal(await order("POST"), 200);
  await stallProcess({ groups: [createOrder("DELETE", "fin")], stallMs: 200 });
  await settle();
  t.ok(isOut());
});

test("an order that is delayed on its way to the leader does not undo a newer one", async (t) => {
  t.equal(await order("POST"), 200);
  const { change } = control!;
  let release = (): void => {};
  const released = new Promise<void>((resolve) => {
    release = resolve;
  });
  let sent = (): void => {};
  const reached = new Promise<void>((resolve) => {
    sent = resolve;
  });
  control!.change = async (...args) => {
    control!.change = change;
    sent();
    await released;
    return await change(...args);
  };
  const delayed = callUrl(harness.operator + PATH, { method: "DELETE" });
  await reached;
  t.equal(await order("DELETE"), 200, "it is sent again");
  t.equal(await order("POST"), 200);
  release();
  t.equal((await delayed).status, 503);
  t.ok(isOut());
});

test("an order that comes long after its connection changes nothing, but may be sent again on it", async (t) => {
  t.equal(await order("POST"), 200);
  const socket = connect(portOf(harness.operator), HOST);
  t.teardown(() => socket.destroy());
  await once(socket, "connect");
  await new Promise((resolve) => setTimeout(resolve, 1_100));
  socket.write(formatOrder("DELETE"));
  const [late] = await once(socket, "data");
  t.match(String(late), /^HTTP\/1\.1 503 /);
  t.ok(isOut());
  socket.write(formatOrder("DELETE"));
  const [again] = await once(socket, "data");
  t.match(String(again), /^HTTP\/1\.1 200 /);
  t.notOk(isOut());
});

test("an order that is in time is carried out, and acknowledged again", async (t) => {
  t.equal(await order("DELETE"), 200);
  t.equal(await order("DELETE"), 200);
  t.notOk(isOut());
  t.equal(await order("POST"), 200);
  t.equal(await order("POST"), 200);
  t.ok(isOut());
});

test("teardown", async () => {
  await harness.stop();
});
