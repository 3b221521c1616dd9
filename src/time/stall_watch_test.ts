import { test } from "tap";
import { createFakeTimer } from "./fake_timer.ts";
import { createStallWatch } from "./stall_watch.ts";
import type { Timer } from "./timer.ts";

/** A timer whose clock a stall advances without running its tasks. */
function createStallableTimer() {
  const fake = createFakeTimer();
  let stalledMs = 0;
  const timer: Timer = {
    ...fake,
    now: () => fake.now() + stalledMs,
    wallTime: () => fake.wallTime() + stalledMs,
  };
  return {
    timer,
    advance: fake.advance,
    /** The VM is suspended: only the time of day goes on. */
    suspend: fake.jumpWallTime,
    stall(ms: number) {
      stalledMs += ms;
    },
  };
}

test("input that is read after a stall may be old", async (t) => {
  const { timer, advance, stall } = createStallableTimer();
  const watch = createStallWatch(timer);
  await advance(5_000);
  t.notOk(watch.recentlyStalled);
  stall(600);
  t.ok(watch.recentlyStalled, "before the next check");
  await advance(900);
  t.ok(watch.recentlyStalled, "while the backlog may be read");
  await advance(200);
  t.notOk(watch.recentlyStalled);
  watch.cancel();
});

test("a suspended VM counts as stalled, though its monotonic clock stood still", async (t) => {
  const { timer, advance, suspend } = createStallableTimer();
  const watch = createStallWatch(timer);
  await advance(5_000);
  suspend(6_000);
  t.ok(watch.recentlyStalled);
  await advance(1_100);
  t.notOk(watch.recentlyStalled);
  watch.cancel();
});

test("short delays and a clock that is set back are no stalls", async (t) => {
  const { timer, advance, suspend, stall } = createStallableTimer();
  const watch = createStallWatch(timer);
  await advance(1_000);
  stall(300);
  t.notOk(watch.recentlyStalled);
  suspend(-6_000);
  t.notOk(watch.recentlyStalled);
  await advance(1_000);
  t.notOk(watch.recentlyStalled);
  watch.cancel();
});
