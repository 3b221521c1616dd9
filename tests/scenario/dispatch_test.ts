/**
 * The answer that a caller gets when a call takes several attempts.
 */
import { test } from "tap";
import { findInvariantViolations } from "./checks.ts";
import { startSmallWorld } from "./small_world.ts";

test("an error answer is passed on when the next attempt is refused", async (t) => {
  const world = await startSmallWorld({ seed: 3, servers: 2, retryRatio: 1 });
  world.vm("vm1").server.failStatus = 500;
  world.vm("vm2").server.crash();
  const calls = [];
  for (let count = 0; count < 20; count++) {
    calls.push(world.call({ via: "vm1", path: `/look/${count}` }));
    await world.timer.advance(50);
  }
  await world.timer.advance(3_000);
  t.same(findInvariantViolations(world), []);
  const ran = calls.filter((call) => call.reply?.outcome === "ran");
  t.ok(ran.length > 0);
  t.ok(ran.every((call) => call.reply?.status === 500));
});

test("hedges count toward the limit on attempts", async (t) => {
  const world = await startSmallWorld({
    seed: 4,
    servers: 5,
    retryRatio: 1,
    look: { hedge: true, max_attempts: 2 },
  });
  for (let count = 0; count < 120; count++) {
    world.call({ via: "vm1", path: `/look/${count}` });
    await world.timer.advance(10);
  }
  for (const vm of world.vms) {
    vm.server.slowness = 20;
    vm.server.failStatus = 500;
    vm.server.failsAfterRun = true;
  }
  const calls = [];
  for (let count = 0; count < 20; count++) {
    calls.push(world.call({ via: "vm1", path: `/look/late${count}` }));
    await world.timer.advance(100);
  }
  await world.timer.advance(3_000);
  const runs = calls.map(({ requestId }) =>
    world.vms.flatMap((vm) => vm.server.executions)
      .filter((execution) => execution.requestId === requestId).length
  );
  t.ok(runs.some((count) => count === 2), "second attempts were made");
  t.ok(runs.every((count) => count <= 2), `runs: ${runs.join(" ")}`);
});

test("a request that waits long at a guard does not count as lost", async (t) => {
  const world = await startSmallWorld({
    seed: 5,
    servers: 2,
    meanMs: 600,
    retryRatio: 0,
    queueWaitMs: 1_500,
  });
  const calls = [];
  for (let count = 0; count < 6; count++) {
    calls.push(world.call({ via: "vm1", path: `/look/${count}` }));
  }
  await world.timer.advance(4_000);
  t.same(calls.map((call) => call.reply?.status), [
    200,
    200,
    200,
    200,
    200,
    200,
  ]);
});

test("nodes find restarted guards without control", async (t) => {
  const world = await startSmallWorld({ seed: 6, servers: 3 });
  world.rpc.decideDelivery = ({ from }) => ({
    lost: from === "vm1",
    delayMs: 1,
  });
  world.vm("vm1").server.crash();
  for (const name of ["vm2", "vm3"]) {
    world.killNode(name);
    await world.startNode(name);
  }
  await world.timer.advance(2_000);
  const calls = [];
  for (let count = 0; count < 10; count++) {
    calls.push(world.call({ via: "vm1", path: `/look/${count}` }));
    await world.timer.advance(100);
  }
  const statuses = calls.map((call) => call.reply?.status);
  t.ok(statuses.every((status) => status === 200), statuses.join(" "));
});

test("a failed second attempt does not cancel the first while it runs", async (t) => {
  const world = await startSmallWorld({
    seed: 8,
    servers: 2,
    retryRatio: 1,
    look: { hedge: true, max_attempts: 2 },
  });
  for (let count = 0; count < 120; count++) {
    world.call({ via: "vm1", path: `/look/${count}` });
    await world.timer.advance(10);
  }
  world.vm("vm1").server.slowness = 30;
  world.vm("vm2").server.failStatus = 500;
  const calls = [];
  for (let count = 0; count < 30; count++) {
    calls.push(world.call({ via: "vm1", path: `/look/late${count}` }));
    await world.timer.advance(200);
  }
  await world.timer.advance(3_000);
  const runs = calls.map(({ requestId }) =>
    world.vms.flatMap((vm) => vm.server.executions)
      .filter((execution) => execution.requestId === requestId)
      .sort((one, other) => one.at - other.at)
      .map(({ server }) => server)
  );
  const hedged = calls.filter((_, index) =>
    runs[index][0] === "vm1" && runs[index][1] === "vm2"
  );
  t.ok(hedged.length > 0, "second attempts were made");
  t.same(
    hedged.map(({ reply }) => reply?.status),
    hedged.map(() => 200),
  );
});
