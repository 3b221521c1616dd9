/**
 * Attempts that arrive late or twice at a guard.
 */
import { test } from "tap";
import type { Channel } from "../../src/network/channel.ts";
import { createFakeAttempt } from "../../src/network/fake_attempt.ts";
import type { Attempt, Frame } from "../../src/network/frames.ts";
import { type EventLoopLag, noLag } from "../../src/time/event_loop_lag.ts";
import { startSmallWorld } from "./small_world.ts";
import { SERVICE, type World } from "./world.ts";

/** Creates a lag that reports closed connections when the test calls for it. */
function createLag(): { lag: EventLoopLag; reportCloses: () => void } {
  let reportCloses = (): void => {};
  const closes = new Promise<void>((resolve) => {
    reportCloses = resolve;
  });
  const lag = { ...noLag, lagging: true, waitForCloses: () => closes };
  return { lag, reportCloses: () => reportCloses() };
}

function createAttempt(world: World): Attempt {
  const { incarnation } = world.vm("vm1").node.guard;
  return createFakeAttempt({
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

/** Connects from another host, and collects frames other than keepalives. */
async function openChannel(
  world: World,
): Promise<{ channel: Channel; received: Frame[] }> {
  const connecting = world.network.from("elsewhere").connect("vm1:1", 100);
  await world.timer.advance(10);
  const channel = await connecting;
  const received: Frame[] = [];
  void (async () => {
    while (true) {
      const frame = await channel.receive();
      if (!frame) {
        return;
      }
      if (frame.kind !== "pong") {
        received.push(frame);
      }
    }
  })();
  return { channel, received };
}

test("a duplicate of a running attempt is never reported as not run", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: 200 });
  const frame = createAttempt(world);
  const first = await openChannel(world);
  const second = await openChannel(world);
  await first.channel.send(frame);
  await world.timer.advance(20);
  void world.vm("vm1").node.guard.drain();
  await second.channel.send(frame);
  await world.timer.advance(2_000);
  t.same(first.received.map((one) => one.kind), ["answer"]);
  t.same(second.received, []);
  t.ok(second.channel.closed);
  t.equal(world.vm("vm1").server.executions.length, 1);
});

test("an attempt that arrives after its fence never starts", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: 200 });
  const frame = createAttempt(world);
  const { attempt, incarnation } = frame;
  const fenceSender = await openChannel(world);
  const lateSender = await openChannel(world);
  await fenceSender.channel.send({ kind: "fence", attempt, incarnation });
  await world.timer.advance(20);
  await lateSender.channel.send(frame);
  await world.timer.advance(2_000);
  t.match(fenceSender.received, [{ kind: "fence_state", state: "fenced" }]);
  t.match(lateSender.received, [{ kind: "refused", reason: "fenced" }]);
  t.equal(world.vm("vm1").server.executions.length, 0);
});

test("an attempt for an earlier incarnation never starts", async (t) => {
  const world = await startSmallWorld({ seed: 1, servers: 1, meanMs: 200 });
  const frame = createAttempt(world);
  const lateSender = await openChannel(world);
  await lateSender.channel.send({ ...frame, incarnation: "earlier" });
  await world.timer.advance(2_000);
  t.match(lateSender.received, [{
    kind: "refused",
    reason: "other_incarnation",
  }]);
  t.equal(world.vm("vm1").server.executions.length, 0);
});

test("an admitted attempt never starts if its sender has closed meanwhile", async (t) => {
  const { lag, reportCloses } = createLag();
  const world = await startSmallWorld({ seed: 1, servers: 1, lag });
  const { guard } = world.vm("vm1").node;
  const { channel } = await openChannel(world);
  await channel.send(createAttempt(world));
  await world.timer.advance(20);
  t.equal(guard.load().inFlight, 1);
  channel.close();
  await world.timer.advance(20);
  reportCloses();
  await world.timer.advance(2_000);
  t.equal(world.vm("vm1").server.executions.length, 0);
  t.equal(guard.load().inFlight, 0);
});

test("an admitted attempt starts if its sender stays connected", async (t) => {
  const { lag, reportCloses } = createLag();
  const world = await startSmallWorld({ seed: 1, servers: 1, lag });
  const { channel, received } = await openChannel(world);
  await channel.send(createAttempt(world));
  await world.timer.advance(20);
  t.equal(world.vm("vm1").server.executions.length, 0);
  reportCloses();
  await world.timer.advance(2_000);
  t.same(received.map((one) => one.kind), ["answer"]);
});
