/**
 * Leases of members across lost registrations, leader changes and freezes of
 * replicas, as nodes and operators see them.
 */
import { test } from "tap";
import { createFakeMember } from "../../src/control/fake_member.ts";
import {
  registerMethod,
  type Renewal,
  renewMethod,
  syncMethod,
} from "../../src/control/node_methods.ts";
import { createHarness, type Harness } from "./harness.ts";

const MEMBER = createFakeMember("vm1");
const RENEWAL: Renewal = {
  server: MEMBER.server,
  incarnation: MEMBER.incarnation,
};
/** The default of `sync_ms` in a site's settings. */
const SYNC_MS = 1_000;
const LEASE_MS = 5_000;

async function register(harness: Harness): Promise<void> {
  const leader = harness.cluster.leader()!;
  const reply = harness.rpc.from("node1").call({
    peer: leader.address,
    method: registerMethod,
    request: { member: MEMBER, expectedRevision: 0 },
    timeoutMs: 1_000,
  });
  await harness.timer.advance(100);
  (await reply)._unsafeUnwrap();
}

/** Renews the member's lease periodically at a replica that is not frozen. */
function renewPeriodically(harness: Harness): void {
  harness.timer.every(SYNC_MS, () => {
    const vm = harness.cluster.vms.find((one) =>
      one.alive && !one.freezer.frozen
    );
    void harness.rpc.from("node1").call({
      peer: vm?.address ?? "",
      method: syncMethod,
      request: createSyncRequest("vm1", RENEWAL),
      timeoutMs: 1_000,
    });
  });
}

function createSyncRequest(node: string, renewal: Renewal) {
  return {
    node,
    known: { global: 0, routes: 0, services: {} },
    confirm: false,
    renewal,
    events: [],
  };
}

test("a node whose lease is lost is notified at each sync after the first", async (t) => {
  const harness = createHarness({ seed: 31, replicas: 1 });
  await harness.startCluster();
  const { address } = harness.cluster.leader()!;
  await register(harness);
  // Another node renews at the same replica at an unrelated interval, so that a
  // batch of renewals need not include the lost one.
  harness.timer.every(130, () => {
    void harness.rpc.from("node1").call({
      peer: address,
      method: syncMethod,
      request: createSyncRequest("vm1", RENEWAL),
      timeoutMs: 1_000,
    });
  });
  const unregistered = { server: "vm2", incarnation: "one" };
  const reportedLost: boolean[] = [];
  for (let count = 0; count < 10; count++) {
    const reply = harness.rpc.from("node2").call({
      peer: address,
      method: syncMethod,
      request: createSyncRequest("vm2", unregistered),
      timeoutMs: SYNC_MS,
    });
    await harness.timer.advance(SYNC_MS);
    reportedLost.push((await reply)._unsafeUnwrap().leaseLost);
  }
  t.ok(
    reportedLost.slice(1).every((lost) => lost),
    `leaseLost in each reply: ${reportedLost.join(" ")}`,
  );
});

test("a new leader does not report a registered member as lost", async (t) => {
  const harness = createHarness({ seed: 32 });
  await harness.startCluster();
  await register(harness);
  await harness.waitForConvergence();
  for (const { name } of [...harness.cluster.vms]) {
    harness.cluster.kill(name);
  }
  await harness.cluster.startAll();
  const lost: Renewal[] = [];
  for (let ms = 0; ms < 3_000; ms++) {
    const leader = harness.cluster.leader();
    if (leader) {
      void harness.rpc.from("control9").call({
        peer: leader.address,
        method: renewMethod,
        request: { renewals: [RENEWAL] },
        timeoutMs: 100,
      }).then((reply) => {
        if (reply.isOk() && reply.value.kind === "done") {
          lost.push(...reply.value.value.lost);
        }
      });
    }
    await harness.timer.advance(1);
  }
  t.same(lost, []);
  t.equal(harness.cluster.leader()?.control.state.members().length, 1);
});

/** Offsets within a second at which a process is frozen. */
const FREEZE_OFFSETS_MS = Array.from({ length: 25 }, (_, index) => index * 40);

test("a leader that was frozen does not record expired leases", async (t) => {
  const recordedEvents: string[] = [];
  for (const offsetMs of FREEZE_OFFSETS_MS) {
    const harness = createHarness({ seed: 33 });
    await harness.startCluster();
    await register(harness);
    renewPeriodically(harness);
    await harness.timer.advance(2_000 + offsetMs);
    const old = harness.cluster.leader()!;
    old.freezer.freeze();
    await harness.timer.advance(2 * LEASE_MS);
    old.freezer.thaw();
    await harness.timer.advance(2_000);
    t.equal(
      old.control.state.members().length,
      1,
      "the member is still registered",
    );
    let found: string[] | undefined;
    void old.control.find({ server: MEMBER.server }).then(({ events }) => {
      found = events.map((event) =>
        `${offsetMs}: ${event.kind} ${event.cause}`
      );
    });
    await harness.timer.advance(1_000);
    recordedEvents.push(...(found ?? []));
  }
  t.same(recordedEvents, []);
});

test("a freeze of the only replica expires no lease", async (t) => {
  const expired: number[] = [];
  for (const offsetMs of FREEZE_OFFSETS_MS) {
    const harness = createHarness({ seed: 34, replicas: 1 });
    await harness.startCluster();
    await register(harness);
    renewPeriodically(harness);
    await harness.timer.advance(2_000 + offsetMs);
    const { control, freezer } = harness.cluster.leader()!;
    freezer.freeze();
    await harness.timer.advance(2 * LEASE_MS);
    freezer.thaw();
    await harness.timer.advance(3_000);
    if (control.state.members().length === 0) {
      expired.push(offsetMs);
    }
  }
  t.same(expired, []);
});
