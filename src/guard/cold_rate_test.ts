import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { neverCancelled } from "../core/cancellation.ts";
import { createAdmission } from "./admission.ts";
import type { Warmup } from "./warmup.ts";
import { createColdRate } from "./cold_rate.ts";

const LIMITS = { perSecond: 5, coldMs: 3_000, slots: 50 };

test("a cold server starts no more than its rate in any second", async (t) => {
  const timer = createFakeTimer();
  const rate = createColdRate(timer, () => LIMITS);
  const admission = createAdmission({
    timer,
    warmup: () => rate,
    limits: { connections: 50, queueLimit: 100, queueWaitMs: 10_000 },
  });
  rate.reset();
  const starts: number[] = [];
  for (let count = 0; count < 40; count++) {
    void admission.admit({
      workspace: "a",
      rank: 0,
      deadlineAt: timer.now() + 10_000,
      exclusive: false,
      signal: neverCancelled,
    }).then((result) => {
      if (result.kind === "admitted") {
        starts.push(timer.now());
      }
    });
  }
  await timer.advance(2_900);
  for (const at of starts) {
    const within = starts.filter((one) => one >= at && one < at + 1_000);
    t.ok(
      within.length <= LIMITS.perSecond,
      `${within.length} starts within 1 s from ${at} ms`,
    );
  }
  t.equal(starts.length, 15, "the full rate is used");
  await timer.advance(200);
  t.equal(starts.length, 40, "a warm server starts all waiting requests");
});

test("a server is cold for as long as it reports", async (t) => {
  const timer = createFakeTimer();
  const rate = createColdRate(timer, () => LIMITS);
  t.ok(rate.cold, "cold before its first report");
  rate.noteCold(0);
  t.notOk(rate.cold);
  rate.noteCold(700);
  t.ok(rate.cold);
  await timer.advance(701);
  t.notOk(rate.cold);
});

test("a restarted guard respects the starts of its predecessor", async (t) => {
  const timer = createFakeTimer();
  const limits = () => ({ perSecond: 40, coldMs: 3_000, slots: 100 });
  const starts: number[] = [];
  async function run(rate: Warmup, ms: number): Promise<void> {
    const end = timer.now() + ms;
    while (timer.now() < end) {
      if (rate.pauseMs === 0) {
        rate.started();
        starts.push(timer.now());
      }
      await timer.advance(1);
    }
  }
  const first = createColdRate(timer, limits);
  first.reset();
  await run(first, 300);
  const next = createColdRate(timer, limits, timer.now());
  next.reset();
  await run(next, 2_500);
  const maxStarts = Math.max(
    ...starts.map((at) =>
      starts.filter((one) => one > at - 1_000 && one <= at).length
    ),
  );
  t.ok(maxStarts <= 40, `${maxStarts} starts in one second`);
  t.ok(starts.length > 80, "requests start again after the first second");
});
