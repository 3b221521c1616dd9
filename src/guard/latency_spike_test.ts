import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import { createAdmission } from "./admission.ts";
import { createColdRate } from "./cold_rate.ts";
import { createLatencySpike } from "./latency_spike.ts";

const WORK_MS = 60;
const OBJECTIVE_MS = 200;
const SPIKE_SLOWNESS = 5;
const SPIKE_MS = 150;
const SPIKE_PERIOD_MS = 600;
const REPORT_MS = 30;
const ARRIVAL_MS = 40;

/** Slowness of a server with short spikes, a quarter of the time. */
function slownessAt(now: number): number {
  return now % SPIKE_PERIOD_MS < SPIKE_MS ? SPIKE_SLOWNESS : 1;
}

/** Simulates ten seconds of load; returns the share that met its objective. */
async function shareInTime(
  timer: FakeTimer,
  options: { waitsForSpike: boolean },
): Promise<number> {
  const spike = createLatencySpike(timer);
  const rate = createColdRate(
    timer,
    () => ({ perSecond: 100, coldMs: 0, slots: 9 }),
  );
  rate.noteCold(0);
  const admission = createAdmission({
    timer,
    warmup: () => rate,
    holdMs: (usualMs) => options.waitsForSpike ? spike.holdMs(usualMs) : 0,
    limits: { connections: 50, queueLimit: 24, queueWaitMs: 150 },
  });
  timer.every(REPORT_MS, () => {
    spike.report(slownessAt(timer.now()));
    admission.startWaitingRequests();
  });
  const latencies: number[] = [];
  async function arrive(): Promise<void> {
    const at = timer.now();
    const result = await admission.admit({
      workspace: "a",
      rank: 0,
      deadlineAt: at + 500,
      objectiveAt: at + OBJECTIVE_MS,
      usualMs: WORK_MS,
      exclusive: false,
      signal: neverCancelled,
    });
    if (result.kind === "refused") {
      latencies.push(Infinity);
      return;
    }
    timer.after(WORK_MS * slownessAt(timer.now()), () => {
      result.slot.release();
      latencies.push(timer.now() - at);
    });
  }
  const arrivals = timer.every(ARRIVAL_MS, () => void arrive());
  await timer.advance(10_000);
  arrivals.cancel();
  await timer.advance(1_000);
  const inTime = latencies.filter((one) => one <= OBJECTIVE_MS).length;
  return inTime / latencies.length;
}

test("requests that wait for a short spike to end meet their objective", async (t) => {
  const withWaiting = await shareInTime(createFakeTimer(), {
    waitsForSpike: true,
  });
  const without = await shareInTime(createFakeTimer(), {
    waitsForSpike: false,
  });
  t.ok(withWaiting >= 0.9, `${withWaiting} in time with waiting`);
  t.ok(without < 0.9, `${without} in time without waiting`);
});

test("short requests don't wait, nor do any for a server that stays slow", async (t) => {
  const timer = createFakeTimer();
  const spike = createLatencySpike(timer);
  spike.report(SPIKE_SLOWNESS);
  t.ok(spike.holdMs(WORK_MS) > 0);
  t.equal(spike.holdMs(15), 0, "a call of 15 ms ends before the spike does");
  for (let at = 0; at < 1_000; at += REPORT_MS) {
    await timer.advance(REPORT_MS);
    spike.report(SPIKE_SLOWNESS);
  }
  t.equal(spike.holdMs(WORK_MS), 0, "no wait after a second of slowness");
  await timer.advance(1_000);
  t.equal(spike.holdMs(10_000), 0, "an old report is ignored");
});
