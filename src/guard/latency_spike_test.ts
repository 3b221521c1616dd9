import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import { createAdmission } from "./admission.ts";
import { createColdRate } from "./cold_rate.ts";
import { createLatencySpike } from "./latency_spike.ts";

const WORK_MS = 60;
const OBJECTIVE_MS = 200;
const FACTOR = 5;
const SPELL_MS = 150;
const SPELLS_APART_MS = 600;
const REPORT_MS = 30;
const ARRIVAL_MS = 40;

/** A server that is slow for a quarter of the time, in short spells. */
function slownessAt(now: number): number {
  return now % SPELLS_APART_MS < SPELL_MS ? FACTOR : 1;
}

/** Plays ten seconds of such a load; returns the share in time. */
async function shareInTime(
  timer: FakeTimer,
  options: { waits: boolean },
): Promise<number> {
  const spell = createLatencySpike(timer);
  const rate = createColdRate(
    timer,
    () => ({ perSecond: 100, coldMs: 0, slots: 9 }),
  );
  rate.noteCold(0);
  const admission = createAdmission({
    timer,
    warmup: () => rate,
    holdMs: (usualMs) => options.waits ? spell.holdMs(usualMs) : 0,
    limits: { connections: 50, queueLimit: 24, queueWaitMs: 150 },
  });
  timer.every(REPORT_MS, () => {
    spell.report(slownessAt(timer.now()));
    admission.pump();
  });
  const latencies: number[] = [];
  async function arrive(): Promise<void> {
    const at = timer.now();
    const verdict = await admission.admit({
      tenant: "a",
      rank: 0,
      deadlineAt: at + 500,
      objectiveAt: at + OBJECTIVE_MS,
      usualMs: WORK_MS,
      alone: false,
      signal: neverCancelled,
    });
    if (verdict.kind === "refused") {
      latencies.push(Infinity);
      return;
    }
    timer.after(WORK_MS * slownessAt(timer.now()), () => {
      verdict.place.release();
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

test("work that waits for a short spell to end is done in time", async (t) => {
  const kept = await shareInTime(createFakeTimer(), { waits: true });
  const without = await shareInTime(createFakeTimer(), { waits: false });
  t.ok(kept >= 0.9, `${kept} in time`);
  t.ok(without < 0.9, `${without} in time without waiting`);
});

test("short work does not wait, nor any for a server that stays slow", async (t) => {
  const timer = createFakeTimer();
  const spell = createLatencySpike(timer);
  spell.report(FACTOR);
  t.ok(spell.holdMs(WORK_MS) > 0);
  t.equal(spell.holdMs(15), 0, "a call of 15 ms ends sooner than the spell");
  for (let at = 0; at < 1_000; at += REPORT_MS) {
    await timer.advance(REPORT_MS);
    spell.report(FACTOR);
  }
  t.equal(spell.holdMs(WORK_MS), 0, "it has been slow for a second");
  await timer.advance(1_000);
  t.equal(spell.holdMs(10_000), 0, "what was reported long ago says nothing");
});
