import { test } from "tap";
import { createRecorder } from "../account/events.ts";
import { silentLogger } from "../core/logger.ts";
import { createFakeRpcNetwork } from "../rpc/fake_rpc.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createFakeControlReplica } from "./fake_control_replica.ts";
import { createFakeMember } from "./fake_member.ts";
import { createLeaderCalls } from "./leader_calls.ts";
import { createLeaseManager } from "./lease_manager.ts";
import { type Renewal, renewMethod } from "./node_methods.ts";
import { createControlState } from "./state.ts";

const [ADDRESS, LEADER] = ["a:1", "b:1"];
const KNOWN: Renewal = { server: "vm1", incarnation: "one" };
const LOST: Renewal = { server: "vm2", incarnation: "one" };
const LEASE_MS = 5_000;

async function build() {
  const timer = createFakeTimer();
  const network = createFakeRpcNetwork(timer, 1);
  const rpc = network.from(ADDRESS);
  const { signal } = new AbortController();
  const replica = createFakeControlReplica(LEADER);
  const state = createControlState();
  const member = createFakeMember(KNOWN.server);
  state.apply({
    index: 1,
    logTime: 0,
    command: { kind: "register", member, expectedRevision: 0 },
  });
  const leases = createLeaseManager({
    state,
    calls: createLeaderCalls({ replica, address: ADDRESS, rpc, timer, signal }),
    leader: () => LEADER,
    recorder: createRecorder({
      source: "a",
      timer,
      version: () => 0,
      capacity: 10,
    }),
    timer,
    logger: silentLogger,
    signal,
  });
  const forwarded: Renewal[][] = [];
  const leader = network.from(LEADER);
  leader.handle(renewMethod, ({ renewals }) => {
    forwarded.push(renewals);
    return Promise.resolve({ kind: "done" as const, value: { lost: [LOST] } });
  });
  await leader.listen(LEADER);
  return { timer, replica, leases, forwarded };
}

test("a follower forwards renewals in one batch and records lost registrations", async (t) => {
  const { timer, leases, forwarded } = await build();
  void leases.forwardRenewals();
  t.same(await leases.renew([KNOWN]), { kind: "not_leader", leader: LEADER });
  leases.queueRenewal(KNOWN);
  leases.queueRenewal(KNOWN);
  leases.queueRenewal(LOST);
  await timer.advance(600);
  t.same(forwarded, [[KNOWN, LOST]]);
  t.ok(leases.isLost(LOST));
  t.notOk(leases.isLost(KNOWN));
});

test("a leader removes members that do not renew their lease", async (t) => {
  const { timer, replica, leases } = await build();
  replica.currentStatus.role = "leader";
  void leases.expire();
  for (let count = 0; count < 20; count++) {
    t.same(await leases.renew([KNOWN]), { kind: "done", value: { lost: [] } });
    await timer.advance(500);
  }
  t.same(replica.proposedCommands, []);
  await timer.advance(LEASE_MS + 1_000);
  t.match(replica.proposedCommands[0], {
    kind: "expire",
    ...KNOWN,
    cause: "lease",
  });
});

test("a new leader grants every member a full lease", async (t) => {
  const { timer, replica, leases } = await build();
  void leases.expire();
  await timer.advance(2 * LEASE_MS);
  replica.currentStatus.role = "leader";
  await timer.advance(LEASE_MS);
  t.same(replica.proposedCommands, []);
  await timer.advance(1_000);
  t.equal(replica.proposedCommands.length > 0, true);
});
