/**
 * What nodes and operators are told of leases when leadership moves.
 */
import { test } from "tap";
import { fakeMember } from "../../src/control/fake_member.ts";
import {
  registerMethod,
  type Renewal,
  renewMethod,
  syncMethod,
} from "../../src/control/node_methods.ts";
import { createLab, type Lab } from "./lab.ts";

const MEMBER = fakeMember("vm1");
const RENEWAL: Renewal = {
  server: MEMBER.server,
  incarnation: MEMBER.incarnation,
};
/** The default of `sync_ms` in a site's settings. */
const SYNC_MS = 1_000;
const LEASE_MS = 5_000;

async function register(lab: Lab): Promise<void> {
  const leader = lab.cluster.leader()!;
  const reply = lab.rpc.from("node1").call({
    peer: leader.address,
    method: registerMethod,
    request: { member: MEMBER, expectedRevision: 0 },
    timeoutMs: 1_000,
  });
  await lab.timer.advance(100);
  (await reply)._unsafeUnwrap();
}

/** Renews the member's lease at a replica that is not frozen, for ever. */
function keepRenewing(lab: Lab): void {
  lab.timer.every(SYNC_MS, () => {
    const vm = lab.cluster.vms.find((one) => one.alive && !one.freezer.frozen);
    void lab.rpc.from("node1").call({
      peer: vm?.address ?? "",
      method: syncMethod,
      request: syncRequest("vm1", RENEWAL),
      timeoutMs: 1_000,
    });
  });
}

function syncRequest(node: string, renewal: Renewal) {
  return {
    node,
    known: { global: 0, routes: 0, services: {} },
    confirm: false,
    renewal,
    events: [],
  };
}

test("a node whose lease is gone is told so at its next sync", async (t) => {
  const lab = createLab({ seed: 31, replicas: 1 });
  await lab.begin();
  const { address } = lab.cluster.leader()!;
  await register(lab);
  // Others renew at the same replica, out of step.
  lab.timer.every(130, () => {
    void lab.rpc.from("node1").call({
      peer: address,
      method: syncMethod,
      request: syncRequest("vm1", RENEWAL),
      timeoutMs: 1_000,
    });
  });
  const gone = { server: "vm2", incarnation: "one" };
  const told: boolean[] = [];
  for (let count = 0; count < 10; count++) {
    const reply = lab.rpc.from("node2").call({
      peer: address,
      method: syncMethod,
      request: syncRequest("vm2", gone),
      timeoutMs: SYNC_MS,
    });
    await lab.timer.advance(SYNC_MS);
    told.push((await reply)._unsafeUnwrap().leaseLost);
  }
  t.ok(told.slice(1).every((lost) => lost), `told: ${told.join(" ")}`);
});

test("a new leader does not call a registered member lost", async (t) => {
  const lab = createLab({ seed: 32 });
  await lab.begin();
  await register(lab);
  await lab.converge();
  for (const { name } of [...lab.cluster.vms]) {
    lab.cluster.kill(name);
  }
  await lab.cluster.startAll();
  const lost: Renewal[] = [];
  for (let ms = 0; ms < 3_000; ms++) {
    const leader = lab.cluster.leader();
    if (leader) {
      void lab.rpc.from("control9").call({
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
    await lab.timer.advance(1);
  }
  t.same(lost, []);
  t.equal(lab.cluster.leader()?.control.state.members().length, 1);
});

/** Times within a second at which a process may be frozen. */
const PHASES_MS = Array.from({ length: 25 }, (_, index) => index * 40);

test("a leader that was frozen does not record that leases ran out", async (t) => {
  const recorded: string[] = [];
  for (const phase of PHASES_MS) {
    const lab = createLab({ seed: 33 });
    await lab.begin();
    await register(lab);
    keepRenewing(lab);
    await lab.timer.advance(2_000 + phase);
    const old = lab.cluster.leader()!;
    old.freezer.freeze();
    await lab.timer.advance(2 * LEASE_MS);
    old.freezer.thaw();
    await lab.timer.advance(2_000);
    t.equal(old.control.state.members().length, 1, "it is registered");
    let found: string[] | undefined;
    void old.control.find({ server: MEMBER.server }).then(({ events }) => {
      found = events.map((event) => `${phase}: ${event.kind} ${event.cause}`);
    });
    await lab.timer.advance(1_000);
    recorded.push(...(found ?? []));
  }
  t.same(recorded, []);
});

test("a pause of the only replica costs no member its lease", async (t) => {
  const expired: number[] = [];
  for (const phase of PHASES_MS) {
    const lab = createLab({ seed: 34, replicas: 1 });
    await lab.begin();
    await register(lab);
    keepRenewing(lab);
    await lab.timer.advance(2_000 + phase);
    const { control, freezer } = lab.cluster.leader()!;
    freezer.freeze();
    await lab.timer.advance(2 * LEASE_MS);
    freezer.thaw();
    await lab.timer.advance(3_000);
    if (control.state.members().length === 0) {
      expired.push(phase);
    }
  }
  t.same(expired, []);
});
