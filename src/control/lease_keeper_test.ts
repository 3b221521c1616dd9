import { test } from "tap";
import { createRecorder } from "../account/events.ts";
import { silentLogger } from "../core/logger.ts";
import { createFakeRpcNetwork } from "../rpc/fake_rpc.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createFakeControlReplica } from "./fake_control_replica.ts";
import { fakeMember } from "./fake_member.ts";
import { createLeaderCalls } from "./leader_calls.ts";
import { createLeaseKeeper } from "./lease_keeper.ts";
import { type Renewal, renewMethod } from "./node_methods.ts";
import { createControlState } from "./state.ts";

const [ADDRESS, LEADER] = ["a:1", "b:1"];
const KNOWN: Renewal = { server: "vm1", incarnation: "one" };
const GONE: Renewal = { server: "vm2", incarnation: "one" };
const LEASE_MS = 5_000;

async function build() {
  const timer = createFakeTimer();
  const network = createFakeRpcNetwork(timer, 1);
  const rpc = network.from(ADDRESS);
  const { signal } = new AbortController();
  const replica = createFakeControlReplica(LEADER);
  const state = createControlState();
  const member = fakeMember(KNOWN.server);
  state.apply({
    index: 1,
    logTime: 0,
    command: { kind: "register", member, expectedRevision: 0 },
  });
  const keeper = createLeaseKeeper({
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
  const passedOn: Renewal[][] = [];
  const leader = network.from(LEADER);
  leader.handle(renewMethod, ({ renewals }) => {
    passedOn.push(renewals);
    return Promise.resolve({ kind: "done" as const, value: { lost: [GONE] } });
  });
  await leader.listen(LEADER);
  return { timer, replica, keeper, passedOn };
}

test("a follower passes renewals on together, and keeps who is lost", async (t) => {
  const { timer, keeper, passedOn } = await build();
  void keeper.passOn();
  t.same(await keeper.renew([KNOWN]), { kind: "not_leader", leader: LEADER });
  keeper.note(KNOWN);
  keeper.note(KNOWN);
  keeper.note(GONE);
  await timer.advance(600);
  t.same(passedOn, [[KNOWN, GONE]]);
  t.ok(keeper.isLost(GONE));
  t.notOk(keeper.isLost(KNOWN));
});

test("a leader removes the members that do not renew", async (t) => {
  const { timer, replica, keeper } = await build();
  replica.shown.role = "leader";
  void keeper.expire();
  for (let count = 0; count < 20; count++) {
    t.same(await keeper.renew([KNOWN]), { kind: "done", value: { lost: [] } });
    await timer.advance(500);
  }
  t.same(replica.proposed, []);
  await timer.advance(LEASE_MS + 1_000);
  t.match(replica.proposed[0], { kind: "expire", ...KNOWN, cause: "lease" });
});

test("a new leader gives every member a whole lease", async (t) => {
  const { timer, replica, keeper } = await build();
  void keeper.expire();
  await timer.advance(2 * LEASE_MS);
  replica.shown.role = "leader";
  await timer.advance(LEASE_MS);
  t.same(replica.proposed, []);
  await timer.advance(1_000);
  t.equal(replica.proposed.length > 0, true);
});
