/**
 * Guards against an event that a replica cannot read: the node's sync failed, and
 * it sent the same events again with each further sync, so that it never got
 * another view.
 */
import { test } from "tap";
import { syncMethod } from "../../src/control/node_methods.ts";
import { createHarness } from "./harness.ts";

const READABLE = {
  wallTime: 1,
  kind: "answered",
  source: "node1",
  version: 1,
  requestId: "kept",
};
const UNREADABLE = [
  { ...READABLE, version: NaN },
  { ...READABLE, kind: "of a later version" },
  null,
];

test("an unreadable event is left out, and the sync is answered", async (t) => {
  const harness = createHarness({ seed: 1, replicas: 1 });
  await harness.startCluster();
  const { address, control } = harness.cluster.leader()!;
  const syncing = harness.rpc.from("node1").call({
    peer: address,
    method: syncMethod,
    request: {
      node: "vm1",
      known: { global: 0, routes: 0, services: {} },
      confirm: false,
      events: [...UNREADABLE, READABLE],
    },
    timeoutMs: 1_000,
  });
  await harness.timer.advance(500);
  t.ok((await syncing).isOk());
  const finding = control.find({ requestId: "kept" });
  await harness.timer.advance(2_000);
  t.equal((await finding).events.length, 1, "the readable event is stored");
});
