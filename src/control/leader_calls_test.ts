import { test } from "tap";
import { createFakeRpcNetwork } from "../rpc/fake_rpc.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createFakeControlReplica } from "./fake_control_replica.ts";
import { createLeaderCalls } from "./leader_calls.ts";
import { confirmMethod } from "./node_methods.ts";

const [ADDRESS, LEADER] = ["a:1", "b:1"];

async function build() {
  const timer = createFakeTimer();
  const network = createFakeRpcNetwork(timer, 1);
  const replica = createFakeControlReplica(LEADER);
  const stopping = new AbortController();
  const calls = createLeaderCalls({
    replica,
    address: ADDRESS,
    rpc: network.from(ADDRESS),
    timer,
    signal: stopping.signal,
  });
  const leader = network.from(LEADER);
  leader.handle(
    confirmMethod,
    () => Promise.resolve({ kind: "done" as const, value: 7 }),
  );
  await leader.listen(LEADER);
  return { timer, network, replica, stopping, calls };
}

test("a follower confirms a read with the leader and then catches up", async (t) => {
  const { timer, replica, calls } = await build();
  let confirmed: boolean | undefined;
  void calls.confirmRead().then((value) => {
    confirmed = value;
  });
  await timer.advance(100);
  t.equal(confirmed, undefined);
  replica.currentStatus.commitIndex = 7;
  await timer.advance(20);
  t.equal(confirmed, true);
});

test("reads of many nodes at the same time ask the leader once", async (t) => {
  const { timer, network, replica, calls } = await build();
  replica.currentStatus.commitIndex = 7;
  let questions = 0;
  const decide = network.decideDelivery;
  network.decideDelivery = (message) => {
    questions += message.method === confirmMethod.name && !message.reply
      ? 1
      : 0;
    return decide(message);
  };
  const reads = Array.from({ length: 185 }, () => calls.confirmRead());
  await timer.advance(100);
  t.same(new Set(await Promise.all(reads)), new Set([true]));
  t.equal(questions, 1);
});

test("a read is not confirmed if the follower does not catch up or the leader is down", async (t) => {
  const { timer, network, calls } = await build();
  const behind = calls.confirmRead();
  await timer.advance(1_000);
  t.equal(await behind, false);
  network.kill(LEADER);
  const dead = calls.confirmRead();
  await timer.advance(1_000);
  t.equal(await dead, false);
});

test("a call that the leader does not answer has the result unknown", async (t) => {
  const { timer, network, calls } = await build();
  network.decideDelivery = () => ({ lost: true, delayMs: 1 });
  const reply = calls.call(confirmMethod, {
    request: {},
    timeoutMs: 50,
    local: calls.confirmLocally,
  });
  await timer.advance(60);
  t.same(await reply, { kind: "unknown", leader: LEADER });
});

test("a call that this replica answers itself ends within its timeout", async (t) => {
  const { timer, replica, calls } = await build();
  replica.currentStatus.role = "leader";
  const reply = calls.call(confirmMethod, {
    request: {},
    timeoutMs: 50,
    local: () => new Promise(() => {}),
  });
  await timer.advance(60);
  const open = new Promise((resolve) => setImmediate(() => resolve("open")));
  t.same(await Promise.race([reply, open]), {
    kind: "unknown",
    leader: ADDRESS,
  });
});

test("no call is made if no leader is known or the known leader is this replica", async (t) => {
  const { replica, calls } = await build();
  for (const leader of ["", ADDRESS]) {
    replica.currentStatus.leader = leader;
    const reply = await calls.call(confirmMethod, {
      request: {},
      timeoutMs: 50,
      local: calls.confirmLocally,
    });
    t.same(reply, { kind: "not_leader", leader: "" });
  }
});

// Guards against nodes that learn of a leader only when they ask again.
test("reads wait for a leader, and share one question to it", async (t) => {
  const { timer, network, replica, calls } = await build();
  replica.currentStatus.leader = "";
  replica.currentStatus.commitIndex = 7;
  let questions = 0;
  network.decideDelivery = ({ reply }) => {
    questions += reply ? 0 : 1;
    return { lost: false, delayMs: 1 };
  };
  const reads: Promise<boolean>[] = [];
  for (let count = 0; count < 9; count++) {
    reads.push(calls.confirmRead());
    await timer.advance(10);
  }
  t.equal(questions, 0);
  replica.currentStatus.leader = LEADER;
  await timer.advance(20);
  t.same(new Set(await Promise.all(reads)), new Set([true]));
  t.equal(questions, 1);
  replica.currentStatus.leader = "";
  const vain = calls.confirmRead();
  await timer.advance(120);
  t.equal(await vain, false, "not for longer than a node waits");
});

test("a read that waits for this replica ends when the replica stops, without a spin", async (t) => {
  const { timer, stopping, calls } = await build();
  const read = calls.confirmRead();
  await timer.advance(100);
  stopping.abort();
  let turns = 0;
  const now = timer.now;
  timer.now = () => {
    turns++;
    // A loop that does not wait would never let this test go on.
    return turns > 1_000 ? Infinity : now();
  };
  t.equal(await read, false);
  t.ok(turns < 100, `${turns} looks at the clock`);
});
