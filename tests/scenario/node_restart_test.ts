/**
 * What a restarted node knows of its backend server before the server announces
 * itself again.
 */
import { test } from "tap";
import { startSmallWorld } from "./small_world.ts";
import { SERVICE, type World } from "./world.ts";

const SETTLE_MS = 1_000;

/** Restarts vm2's node, whose server sends no further announcements. */
async function restartWithoutAnnouncements(world: World): Promise<void> {
  world.killNode("vm2");
  await world.startNode("vm2");
  world.vm("vm2").announcing = false;
  await world.timer.advance(SETTLE_MS);
}

test("a restarted node restores a healthy server at once", async (t) => {
  const world = await startSmallWorld({ seed: 7, servers: 2 });
  const { boot } = world.vm("vm2").server;
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced?.boot, boot);
  world.vm("vm1").server.crash();
  const call = world.call({ via: "vm1", path: "/look/1" });
  await world.timer.advance(500);
  t.equal(call.reply?.status, 200);
});

test("a restarted node does not restore a server whose leave is recorded", async (t) => {
  const world = await startSmallWorld({ seed: 8, servers: 2 });
  const { node, server } = world.vm("vm2");
  let recorded = false;
  world.vm("vm2").announcing = false;
  void node.leave(server.boot, () => {
    recorded = true;
  });
  await world.timer.advance(300);
  t.ok(recorded, "control has recorded the leave");
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});

test("a restarted node does not restore a server that reports its leaving", async (t) => {
  const world = await startSmallWorld({ seed: 9, servers: 2 });
  world.vm("vm2").server.reportsLeaving = true;
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});

test("a restarted node does not restore a server with another boot", async (t) => {
  const world = await startSmallWorld({ seed: 10, servers: 2 });
  world.vm("vm2").server.start();
  await restartWithoutAnnouncements(world);
  t.equal(world.vm("vm2").node.guard.announced, undefined);
});

/** Announces a run of vm2's server, as a delayed announcement does. */
function announceLate(
  world: World,
  { boot, startedAt }: { boot: string; startedAt?: number },
): Promise<string> {
  return world.vm("vm2").node.announce({
    service: SERVICE,
    address: "vm2:2",
    boot,
    instance: boot,
    startedAt,
    sequence: 1,
    healthPath: "/health",
  });
}

// Guards against an announcement that was on its way while its server left and
// the node restarted: the new process took the server for one that had begun.
for (const leave of ["its boot", "its instance"] as const) {
  test(`a restarted node rejects a late announcement of a server that left by ${leave}`, async (t) => {
    const world = await startSmallWorld({ seed: 11, servers: 2 });
    const { node, server } = world.vm("vm2");
    const { boot } = server;
    const startedAt = world.timer.wallTime() - 1_000;
    world.vm("vm2").announcing = false;
    let recorded = false;
    if (leave === "its boot") {
      void node.leave(boot, () => {
        recorded = true;
      });
    } else {
      void node.rejectInstance(boot).then((result) => {
        recorded = result;
      });
    }
    await world.timer.advance(300);
    t.ok(recorded, "the leave is acknowledged");
    // The lease of an instance that was only rejected ends by itself.
    await world.timer.advance(20_000);
    for (const restart of ["first", "second"]) {
      await restartWithoutAnnouncements(world);
      t.equal(
        await announceLate(world, { boot, startedAt }),
        "outdated",
        restart,
      );
      t.equal(world.vm("vm2").node.guard.announced, undefined);
    }
    const started = announceLate(world, {
      boot: leave === "its boot" ? "next" : boot,
      startedAt: world.timer.wallTime(),
    });
    await world.timer.advance(1_000);
    t.equal(await started, "new", "a new start is accepted at once");
  });
}

test("an announcement waits until the node knows what has left its VM", async (t) => {
  const world = await startSmallWorld({ seed: 12, servers: 2 });
  world.killNode("vm2");
  world.rpc.decideDelivery = ({ from }) => ({
    lost: from === "vm2",
    delayMs: 1,
  });
  void world.startNode("vm2");
  await world.timer.advance(100);
  let result = "";
  void announceLate(world, { boot: "early" }).then((value) => {
    result = value;
  });
  await world.timer.advance(1_000);
  t.equal(result, "");
  t.equal(world.vm("vm2").node.guard.announced, undefined);
  world.rpc.decideDelivery = () => ({ lost: false, delayMs: 1 });
  await world.timer.advance(1_500);
  t.equal(result, "new");
});

test("a leave is not acknowledged before control has recorded it", async (t) => {
  const world = await startSmallWorld({ seed: 13, servers: 2 });
  world.vm("vm2").announcing = false;
  world.rpc.decideDelivery = ({ method }) => ({
    lost: method === "depart",
    delayMs: 1,
  });
  const { node, server } = world.vm("vm2");
  let recorded = false;
  const onRecorded = (): void => {
    recorded = true;
  };
  void node.leave(server.boot, onRecorded);
  await world.timer.advance(6_000);
  t.notOk(recorded);
  t.ok(node.guard.status().draining, "it stops at once all the same");
  world.rpc.decideDelivery = () => ({ lost: false, delayMs: 1 });
  void node.leave(server.boot, onRecorded);
  await world.timer.advance(500);
  t.ok(recorded, "a resend is acknowledged");
});
