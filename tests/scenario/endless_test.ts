/**
 * Answers that begin and never end: no place stays taken once their callers
 * have left, nor for answers that are given up for others.
 */
import { test } from "tap";
import { createCanceller } from "../../src/core/cancellation.ts";
import type { RoutePolicy } from "../../src/settings/site.ts";
import { startSmallWorld } from "./small_world.ts";
import type { World } from "./world.ts";

const DEADLINE_MS = 2_000;

async function startEndless(look: Partial<RoutePolicy>): Promise<World> {
  const world = await startSmallWorld({
    seed: 6,
    servers: 2,
    retryRatio: 1,
    look: { deadline_ms: DEADLINE_MS, ...look },
  });
  world.vms.forEach((vm) => vm.server.endless = true);
  return world;
}

/** Places that are taken at all guards. */
function placesTaken(world: World): number {
  const taken = world.vms.map((vm) => vm.node.guard.load().inFlight);
  return taken.reduce((sum, one) => sum + one, 0);
}

const ROUTES: [string, Partial<RoutePolicy>][] = [
  ["of a plain route", {}],
  ["of a hedged route", { hedge: true }],
  ["with a key", { key: "required" }],
];
for (const [what, look] of ROUTES) {
  test(`a stream ${what} ends when its caller leaves`, async (t) => {
    const world = await startEndless(look);
    const signal = createCanceller();
    const call = world.call({
      via: "vm1",
      path: "/look/1",
      key: look.key && "key-1",
      signal,
    });
    await world.timer.advance(2 * DEADLINE_MS);
    t.equal(call.reply?.status, 200);
    t.equal(placesTaken(world), 1, "a long answer is waited for");
    signal.cancel();
    await world.timer.advance(100);
    t.equal(placesTaken(world), 0);
  });
}

test("a failure without end that is given up for another is closed", async (t) => {
  const world = await startEndless({});
  world.vms.forEach((vm) => vm.server.failStatus = 500);
  const call = world.call({ via: "vm1", path: "/look/1" });
  await world.timer.advance(DEADLINE_MS / 2);
  t.equal(call.reply?.status, 500);
  t.equal(call.reply?.attempts, 2);
  t.equal(placesTaken(world), 1, "only the last one is passed on");
  await world.timer.advance(DEADLINE_MS);
  t.equal(placesTaken(world), 0, "and that has until the deadline");
});
