import { test } from "tap";
import { createFreezer } from "./freezer.ts";
import { createFakeTimer } from "../../src/time/fake_timer.ts";
import { watchFreezes } from "../../src/node/freeze_watch.ts";

/** Freezes a process after a delay; returns the durations detected. */
async function detectFreezes(
  afterMs: number,
  durationMs: number,
): Promise<number[]> {
  const timer = createFakeTimer();
  const freezer = createFreezer(timer);
  const detectedMs: number[] = [];
  const watch = watchFreezes(freezer.timer, (ms) => detectedMs.push(ms));
  await timer.advance(afterMs);
  freezer.freeze();
  await timer.advance(durationMs);
  freezer.thaw();
  await timer.advance(3_000);
  watch.cancel();
  return detectedMs;
}

test("a freeze of over two seconds is detected, whenever it begins", async (t) => {
  for (let afterMs = 5_000; afterMs <= 6_000; afterMs += 50) {
    const detectedMs = await detectFreezes(afterMs, 2_100);
    t.equal(detectedMs.length, 1, `${afterMs} ms after the start`);
  }
});

test("a delay of one second does not count as a freeze", async (t) => {
  for (let afterMs = 5_000; afterMs <= 6_000; afterMs += 50) {
    t.same(await detectFreezes(afterMs, 1_000), []);
  }
});

test("a freeze is detected before a timer acts on the elapsed time", async (t) => {
  const timer = createFakeTimer();
  const freezer = createFreezer(timer);
  const order: string[] = [];
  freezer.timer.after(6_000, () => {
    watch.check();
    order.push("timer");
  });
  const watch = watchFreezes(freezer.timer, () => order.push("freeze"));
  await timer.advance(5_900);
  freezer.freeze();
  await timer.advance(12_000);
  freezer.thaw();
  await timer.advance(100);
  watch.cancel();
  t.same(order, ["freeze", "timer"]);
});
