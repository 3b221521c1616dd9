/**
 * Answers whose bodies never end: guards release their slots once the callers
 * have left, at the deadline, and for answers that are discarded in favor of
 * others.
 */
import { test } from "tap";
import { createCanceller } from "../../src/core/cancellation.ts";
import type { Reply } from "../../src/ingress/call.ts";
import type { RoutePolicy } from "../../src/settings/site.ts";
import { startSmallWorld } from "./small_world.ts";
import type { World } from "./world.ts";

const DEADLINE_MS = 2_000;
/** Time past its deadline in which a request ends. */
const END_BOUND_MS = 250;

async function readBody(body: Reply["body"]): Promise<void> {
  if (!(body instanceof Uint8Array)) {
    for await (const _ of body) {
      // Only the end of the stream is needed.
    }
  }
}

async function startEndless(look: Partial<RoutePolicy>): Promise<World> {
  const world = await startSmallWorld({
    seed: 6,
    servers: 2,
    retryRatio: 1,
    look: { deadline_ms: DEADLINE_MS, ...look },
  });
  world.vms.forEach((vm) => vm.server.neverEndsBodies = true);
  return world;
}

/** Counts the slots in use at all guards. */
function countUsedSlots(world: World): number {
  const inFlight = world.vms.map((vm) => vm.node.guard.load().inFlight);
  return inFlight.reduce((sum, one) => sum + one, 0);
}

const ROUTES: [string, Partial<RoutePolicy>][] = [
  ["of a plain route", {}],
  ["of a hedged route", { hedge: true }],
  ["with a key", { key: "required" }],
];
for (const [description, look] of ROUTES) {
  test(`a stream ${description} ends when its caller leaves`, async (t) => {
    const world = await startEndless(look);
    const signal = createCanceller();
    const call = world.call({
      via: "vm1",
      path: "/look/1",
      key: look.key && "key-1",
      signal,
    });
    await world.timer.advance(DEADLINE_MS / 2);
    t.equal(call.reply?.status, 200);
    t.equal(
      countUsedSlots(world),
      1,
      "the answer goes on while its caller stays",
    );
    signal.cancel();
    await world.timer.advance(100);
    t.equal(countUsedSlots(world), 0);
  });

  test(`a stream ${description} ends at its deadline while its caller stays`, async (t) => {
    const world = await startEndless(look);
    const call = world.call({
      via: "vm1",
      path: "/look/1",
      key: look.key && "key-1",
    });
    await world.timer.advance(DEADLINE_MS - 10);
    t.equal(call.reply?.status, 200);
    t.equal(countUsedSlots(world), 1, "not before its deadline");
    await world.timer.advance(END_BOUND_MS);
    t.equal(countUsedSlots(world), 0);
    await t.rejects(readBody(call.reply!.body), "it does not look whole");
  });
}

test("an endless error answer is closed when a retry replaces it", async (t) => {
  const world = await startEndless({});
  world.vms.forEach((vm) => vm.server.failStatus = 500);
  const call = world.call({ via: "vm1", path: "/look/1" });
  await world.timer.advance(DEADLINE_MS / 2);
  t.equal(call.reply?.status, 500);
  t.equal(call.reply?.attempts, 2);
  t.equal(countUsedSlots(world), 1, "only the last error answer holds a slot");
  await world.timer.advance(DEADLINE_MS);
  t.equal(
    countUsedSlots(world),
    0,
    "the last error answer is closed at the deadline",
  );
});
