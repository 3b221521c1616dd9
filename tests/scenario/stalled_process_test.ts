/**
 * Processes that stall, as on a VM without processor time, for longer than the
 * silence after which a connection counts as lost.
 */
import { test } from "tap";
import { findInvariantViolations } from "./checks.ts";
import { startSmallWorld } from "./small_world.ts";
import type { CallRecord, World } from "./world.ts";

/** Longer than the silence after which a connection counts as lost (400 ms). */
const STALL_MS = 700;
/** Time within which all calls end. */
const END_MS = 4_000;

/** Starts a world of two VMs where only vm2's server is up. */
async function startWorldWithOneServer(seed: number): Promise<World> {
  const world = await startSmallWorld({
    seed,
    servers: 2,
    meanMs: 300,
    retryRatio: 0,
  });
  world.vm("vm1").server.crash();
  return world;
}

/** Sends as many calls as a guard admits at once to a cold server. */
async function startCalls(
  world: World,
  callRequest: { path: string; method?: "POST" },
): Promise<CallRecord[]> {
  const calls = [];
  for (let count = 0; count < 2; count++) {
    calls.push(world.call({ via: "vm1", ...callRequest }));
  }
  await world.timer.advance(20);
  return calls;
}

function countRuns(world: World, call: CallRecord): number {
  return world.vms.flatMap((vm) => vm.server.executions)
    .filter(({ requestId }) => requestId === call.requestId).length;
}

for (
  const [kind, callRequest] of [
    ["repeatable", { path: "/look/1" }],
    ["unrepeatable", { path: "/pay/1", method: "POST" }],
  ] as const
) {
  test(`a stalled guard does not count as lost: ${kind}`, async (t) => {
    const world = await startWorldWithOneServer(21);
    await world.timer.advance(1_000);
    const calls = await startCalls(world, callRequest);
    world.stallNode("vm2", STALL_MS);
    await world.timer.advance(END_MS);
    t.same(calls.map((call) => call.reply?.status), [200, 200]);
    t.same(calls.map((call) => countRuns(world, call)), [1, 1]);
    t.same(findInvariantViolations(world), []);
  });

  test(`a stalled ingress does not count guards as lost: ${kind}`, async (t) => {
    const world = await startWorldWithOneServer(22);
    await world.timer.advance(1_000);
    const calls = await startCalls(world, callRequest);
    world.stallNode("vm1", STALL_MS);
    await world.timer.advance(END_MS);
    t.same(calls.map((call) => call.reply?.status), [200, 200]);
    t.same(calls.map((call) => countRuns(world, call)), [1, 1]);
    t.same(findInvariantViolations(world), []);
  });
}

test("an attempt that a guard reads late does not count as lost", async (t) => {
  const world = await startWorldWithOneServer(23);
  await world.timer.advance(1_000);
  world.stallNode("vm2", STALL_MS);
  const calls = await startCalls(world, { path: "/look/1" });
  await world.timer.advance(END_MS);
  t.same(calls.map((call) => call.reply?.status), [200, 200]);
  t.same(calls.map((call) => countRuns(world, call)), [1, 1]);
  t.same(findInvariantViolations(world), []);
});

test("a server whose health check is late does not count as crashed", async (t) => {
  const world = await startWorldWithOneServer(24);
  const { server, node } = world.vm("vm2");
  await world.timer.advance(1_000);
  server.healthChecksHang = true;
  server.truncatesBodies = true;
  await startCalls(world, { path: "/look/1" });
  await world.timer.advance(1_000);
  t.ok(node.guard.load().allowed > 0, "the guard still allows requests");
  t.equal(
    node.guard.status().suspects,
    0,
    "no request is suspected of a crash",
  );
});
