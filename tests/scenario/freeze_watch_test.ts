import { test } from "tap";
import { createFreezer } from "./freezer.ts";
import { createFakeTimer } from "../../src/time/fake_timer.ts";
import { watchFreezes } from "../../src/node/freeze_watch.ts";

/** Freezes a process some time after its start; returns what was noticed. */
async function freeze(afterMs: number, durationMs: number): Promise<number[]> {
  const timer = createFakeTimer();
  const freezer = createFreezer(timer);
  const noticed: number[] = [];
  const watch = watchFreezes(freezer.timer, (ms) => noticed.push(ms));
  await timer.advance(afterMs);
  freezer.freeze();
  await timer.advance(durationMs);
  freezer.thaw();
  await timer.advance(3_000);
  watch.cancel();
  return noticed;
}

test("a freeze of over two seconds is noticed, whenever it begins", async (t) => {
  for (let afterMs = 5_000; afterMs <= 6_000; afterMs += 50) {
    const noticed = await freeze(afterMs, 2_100);
    t.equal(noticed.length, 1, `${afterMs} ms after the start`);
  }
});

test("a process that is late by a second has not been frozen", async (t) => {
  for (let afterMs = 5_000; afterMs <= 6_000; afterMs += 50) {
    t.same(await freeze(afterMs, 1_000), []);
  }
});

test("a freeze is noticed before a timer acts on the time that went by", async (t) => {
  const timer = createFakeTimer();
  const freezer = createFreezer(timer);
  const order: string[] = [];
  freezer.timer.after(6_000, () => {
    watch.look();
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
