/**
 * Effects of a planned stop of a replica on leadership, on changes in flight
 * and on received events.
 */
import { test } from "tap";
import { eventSchema } from "../../src/account/events.ts";
import { syncMethod } from "../../src/control/node_methods.ts";
import { createHarness } from "./harness.ts";

const ELECTION_TIMEOUT_MS = 600;

test("leadership is handed over to a live follower before an election timeout", async (t) => {
  const slow: string[] = [];
  for (const nth of [0, 1, 2, 3]) {
    const harness = createHarness({ seed: 51, replicas: 5 });
    await harness.startCluster();
    await harness.waitForConvergence();
    const old = harness.cluster.leader()!.name;
    const others = harness.cluster.vms.filter((vm) => vm.name !== old);
    harness.cluster.kill(others[nth].name);
    await harness.timer.advance(2_000);
    const stoppedAt = harness.timer.now();
    void harness.cluster.stop(old);
    await harness.until("another replica leads", () => {
      const leader = harness.cluster.leader();
      return leader !== undefined && leader.name !== old;
    });
    const tookMs = harness.timer.now() - stoppedAt;
    if (tookMs >= ELECTION_TIMEOUT_MS) {
      slow.push(`with ${others[nth].name} down: ${tookMs} ms`);
    }
  }
  t.same(slow, []);
});

test("the only replica answers a change in flight when it stops", async (t) => {
  const harness = createHarness({ seed: 52, replicas: 1 });
  await harness.startCluster();
  const { name, control } = harness.cluster.leader()!;
  let reply: unknown;
  void control.change({
    kind: "change",
    changeId: "late",
    operator: "ann",
    force: true,
    wallTime: 0,
    action: { kind: "domain_out", domain: "east" },
  }).then((value) => {
    reply = value;
  });
  void harness.cluster.stop(name);
  await harness.timer.advance(3_000);
  t.match(reply, { kind: "done" });
});

/**
 * Sends an event, stops the replica after a delay, restarts it, and returns the
 * number of events found.
 */
async function countEventsAfterStop(waitMs: number): Promise<number> {
  const harness = createHarness({ seed: 53, replicas: 1 });
  await harness.startCluster();
  const { name, address } = harness.cluster.leader()!;
  const event = eventSchema.parse({
    source: "node1",
    wallTime: 5,
    version: 1,
    kind: "crash",
    server: "vm7",
  });
  const call = harness.rpc.from("node1").call({
    peer: address,
    method: syncMethod,
    request: {
      node: "node1",
      known: { global: 0, routes: 0, services: {} },
      confirm: false,
      events: [event],
    },
    timeoutMs: 1_000,
  });
  await harness.timer.advance(2);
  (await call)._unsafeUnwrap();
  await harness.timer.advance(waitMs);
  let stopped = false;
  void harness.cluster.stop(name).then(() => {
    stopped = true;
  });
  while (!stopped) {
    await harness.timer.advance(1);
  }
  // The process exits as soon as it has stopped.
  const vm = harness.cluster.vm(name);
  vm.disk.detach();
  harness.cluster.vms[0] = { ...vm, disk: vm.disk.reopen() };
  await harness.cluster.start(name);
  await harness.timer.advance(3_000);
  let found = 0;
  void harness.cluster.vm(name).control.find({ server: "vm7" }).then(
    (account) => {
      found = account.events.length;
    },
  );
  await harness.timer.advance(1_000);
  return found;
}

test("events acknowledged to a node survive a planned stop", async (t) => {
  t.equal(await countEventsAfterStop(2_000), 1, "found after a stop 2 s later");
  t.equal(
    await countEventsAfterStop(0),
    1,
    "found after a stop right after the reply",
  );
});
