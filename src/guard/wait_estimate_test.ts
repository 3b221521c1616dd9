import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { createSeededRandom } from "../core/random.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { type Applicant, createAdmission } from "./admission.ts";
import { createColdRate } from "./cold_rate.ts";
import { expectedWaitMs, type QueueMoment } from "./wait_estimate.ts";

const WORK_MS = 100;
const SLOTS = 10;

const FREE: QueueMoment = {
  ahead: 0,
  inFlight: 9,
  allowed: SLOTS,
  placeMs: WORK_MS,
  holdMs: 0,
  pauseMs: 0,
  overtakenFactor: 1,
};

test("a wait lasts until enough places are free, and a spell is over", (t) => {
  t.equal(expectedWaitMs(FREE), 0);
  t.equal(expectedWaitMs({ ...FREE, inFlight: 10 }), 10);
  t.equal(expectedWaitMs({ ...FREE, inFlight: 10, ahead: 4 }), 50);
  t.equal(
    expectedWaitMs({ ...FREE, inFlight: 10, ahead: 4, overtakenFactor: 2 }),
    90,
  );
  t.equal(
    expectedWaitMs({ ...FREE, inFlight: 10, overtakenFactor: 2 }),
    10,
    "the first in the queue is hardly overtaken",
  );
  t.equal(expectedWaitMs({ ...FREE, holdMs: 120 }), 120);
  t.equal(expectedWaitMs({ ...FREE, inFlight: 10, pauseMs: 70 }), 70);
  t.equal(expectedWaitMs({ ...FREE, inFlight: 10, placeMs: 0 }), 0, "unknown");
  t.end();
});

function busyAdmission(timer: ReturnType<typeof createFakeTimer>) {
  const rate = createColdRate(
    timer,
    () => ({ perSecond: 1_000, coldMs: 0, slots: SLOTS }),
  );
  rate.noteCold(0);
  return createAdmission({
    timer,
    warmup: () => rate,
    limits: { connections: 50, queueLimit: 100, queueWaitMs: 10_000 },
  });
}

/** Share of what ran that was late, at one and a half times the load. */
async function lateShare(seed: number): Promise<{ late: number; ran: number }> {
  const timer = createFakeTimer();
  const random = createSeededRandom(seed);
  const admission = busyAdmission(timer);
  let late = 0;
  let ran = 0;
  async function arrive(): Promise<void> {
    const at = timer.now();
    const verdict = await admission.admit({
      tenant: "a",
      rank: 0,
      deadlineAt: at + 500,
      objectiveAt: at + 200,
      usualMs: WORK_MS,
      alone: false,
      signal: neverCancelled,
    });
    if (verdict.kind === "refused") {
      return;
    }
    // Kinds of requests differ by a third either way.
    const workMs = WORK_MS * (0.67 + 0.66 * random.fraction());
    timer.after(workMs, () => {
      verdict.place.release();
      ran++;
      late += timer.now() - at > 200 ? 1 : 0;
    });
  }
  const arrivals = timer.every(1_000 / 150, () => void arrive());
  await timer.advance(10_000);
  arrivals.cancel();
  await timer.advance(1_000);
  return { late, ran };
}

test("above capacity, what is let in is in time though its length varies", async (t) => {
  for (const seed of [1, 2, 3]) {
    const { late, ran } = await lateShare(seed);
    t.ok(ran > 900, `seed ${seed}: ${ran} of 1,000 places are used`);
    t.ok(late / ran < 0.1, `seed ${seed}: ${late} of ${ran} are late`);
  }
});

test("at twice the load, what would wait in vain is told so at once", async (t) => {
  const timer = createFakeTimer();
  const admission = busyAdmission(timer);
  const refusals: { afterMs: number; waitMs: number }[] = [];
  let late = 0;
  let ended = 0;
  async function arrive(): Promise<void> {
    const at = timer.now();
    const applicant: Applicant = {
      tenant: "a",
      rank: 0,
      deadlineAt: at + 300,
      objectiveAt: at + 200,
      usualMs: WORK_MS,
      alone: false,
      signal: neverCancelled,
    };
    const verdict = await admission.admit(applicant);
    if (verdict.kind === "refused") {
      const afterMs = timer.now() - at;
      refusals.push({ afterMs, waitMs: verdict.waitMs ?? 0 });
      return;
    }
    timer.after(WORK_MS, () => {
      verdict.place.release();
      ended++;
      late += timer.now() - at > 200 ? 1 : 0;
    });
  }
  const arrivals = timer.every(5, () => void arrive());
  await timer.advance(5_000);
  arrivals.cancel();
  await timer.advance(1_000);
  const atOnce = refusals.filter(({ afterMs }) => afterMs < 25).length;
  t.ok(refusals.length > 300, `${refusals.length} are refused`);
  t.ok(
    atOnce / refusals.length > 0.9,
    `${atOnce} of ${refusals.length} at once`,
  );
  t.ok(refusals.every(({ waitMs }) => waitMs > 0), "and are told when");
  t.ok(ended > 450, `its places stay filled: ${ended} end`);
  t.ok(late / ended < 0.1, `${late} of ${ended} are late`);
});
