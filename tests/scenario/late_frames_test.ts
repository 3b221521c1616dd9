/**
 * Frames that arrive late or twice at a guard.
 */
import { test } from "tap";
import type { Channel } from "../../src/network/channel.ts";
import { fakeAttempt } from "../../src/network/fake_attempt.ts";
import type { Attempt, Frame } from "../../src/network/frames.ts";
import { type EventLoopLag, noLag } from "../../src/time/event_loop_lag.ts";
import { startSmallWorld } from "./small_world.ts";
import { SERVICE, type World } from "./world.ts";

/** A lag whose closings are known once the test says so. */
function heldLag(): { lag: EventLoopLag; known: () => void } {
  let known = (): void => {};
  const closings = new Promise<void>((resolve) => {
    known = resolve;
  });
  const lag = { ...noLag, late: true, closingsKnown: () => closings };
  return { lag, known: () => known() };
}

function attemptFor(world: World): Attempt {
  const { incarnation } = world.vm("vm1").node.guard;
  return fakeAttempt({
    attempt: { source: "elsewhere", order: 1 },
    incarnation,
    requestId: "late1",
    service: SERVICE,
    class: "pay",
    repeatable: false,
    timeLeftMs: 3_000,
    method: "POST",
    path: "/pay/1",
    headers: [["mustardcross-request-id", "late1"]],
  });
}

/** Connects from elsewhere, and collects what is not a sign of life. */
async function open(
  world: World,
): Promise<{ channel: Channel; got: Frame[] }> {
  const connecting = world.network.from("elsewhere").connect("vm1:1", 100);
  await world.timer.advance(10);
  const channel = await connecting;
  const got: Frame[] = [];
  void (async () => {
    while (true) {
      const frame = await channel.receive();
      if (!frame) {
        return;
      }
      if (frame.kind !== "pong") {
        got.push(frame);
      }
    }
  })();
  return { channel, got };
}

test("a second copy of an attempt that runs is never called not run", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: 200 });
  const frame = attemptFor(world);
  const first = await open(world);
  const second = await open(world);
  await first.channel.send(frame);
  await world.timer.advance(20);
  void world.vm("vm1").node.guard.drain();
  await second.channel.send(frame);
  await world.timer.advance(2_000);
  t.same(first.got.map((one) => one.kind), ["answer"]);
  t.same(second.got, []);
  t.ok(second.channel.closed);
  t.equal(world.vm("vm1").server.executions.length, 1);
});

test("an attempt that arrives after its fence never starts", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: 200 });
  const frame = attemptFor(world);
  const { attempt, incarnation } = frame;
  const fencing = await open(world);
  const late = await open(world);
  await fencing.channel.send({ kind: "fence", attempt, incarnation });
  await world.timer.advance(20);
  await late.channel.send(frame);
  await world.timer.advance(2_000);
  t.match(fencing.got, [{ kind: "fence_state", state: "fenced" }]);
  t.match(late.got, [{ kind: "refused", reason: "fenced" }]);
  t.equal(world.vm("vm1").server.executions.length, 0);
});

test("an attempt for an earlier incarnation never starts", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: 200 });
  const frame = attemptFor(world);
  const late = await open(world);
  await late.channel.send({ ...frame, incarnation: "earlier" });
  await world.timer.advance(2_000);
  t.match(late.got, [{ kind: "refused", reason: "other_incarnation" }]);
  t.equal(world.vm("vm1").server.executions.length, 0);
});

test("an admitted attempt whose sender left unread never starts", async (t) => {
  const { lag, known } = heldLag();
  const world = await startSmallWorld({ seed: 1, servers: 1, lag });
  const { guard } = world.vm("vm1").node;
  const { channel } = await open(world);
  await channel.send(attemptFor(world));
  await world.timer.advance(20);
  t.equal(guard.load().inFlight, 1);
  channel.close();
  await world.timer.advance(20);
  known();
  await world.timer.advance(2_000);
  t.equal(world.vm("vm1").server.executions.length, 0);
  t.equal(guard.load().inFlight, 0);
});

test("an admitted attempt whose sender stays starts", async (t) => {
  const { lag, known } = heldLag();
  const world = await startSmallWorld({ seed: 1, servers: 1, lag });
  const { channel, got } = await open(world);
  await channel.send(attemptFor(world));
  await world.timer.advance(20);
  t.equal(world.vm("vm1").server.executions.length, 0);
  known();
  await world.timer.advance(2_000);
  t.same(got.map((one) => one.kind), ["answer"]);
});
