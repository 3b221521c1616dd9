import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { createSeededRandom } from "../core/random.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { type AdmissionRequest, createAdmission } from "./admission.ts";
import { createColdRate } from "./cold_rate.ts";
import { expectedWaitMs, type QueueState } from "./wait_estimate.ts";

const WORK_MS = 100;
const SLOTS = 10;

const FREE: QueueState = {
  ahead: 0,
  inFlight: 9,
  allowed: SLOTS,
  slotTimeMs: WORK_MS,
  holdMs: 0,
  pauseMs: 0,
  startIntervalMs: 0,
  overtakenFactor: 1,
};

test("the wait lasts until a slot is free and any spike or pause is over", (t) => {
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
    "the first in the queue is rarely overtaken",
  );
  t.equal(expectedWaitMs({ ...FREE, holdMs: 120 }), 120);
  t.equal(expectedWaitMs({ ...FREE, inFlight: 10, pauseMs: 70 }), 70);
  t.equal(
    expectedWaitMs({ ...FREE, inFlight: 10, slotTimeMs: 0 }),
    0,
    "slot time unknown",
  );
  t.end();
});

function createBusyAdmission(timer: ReturnType<typeof createFakeTimer>) {
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

/** Counts all and late requests that ran, at one and a half times capacity. */
async function countLate(seed: number): Promise<{ late: number; ran: number }> {
  const timer = createFakeTimer();
  const random = createSeededRandom(seed);
  const admission = createBusyAdmission(timer);
  let late = 0;
  let ran = 0;
  async function arrive(): Promise<void> {
    const at = timer.now();
    const result = await admission.admit({
      workspace: "a",
      rank: 0,
      deadlineAt: at + 500,
      objectiveAt: at + 200,
      usualMs: WORK_MS,
      exclusive: false,
      signal: neverCancelled,
    });
    if (result.kind === "refused") {
      return;
    }
    // Processing times differ by up to a third either way.
    const workMs = WORK_MS * (0.67 + 0.66 * random.fraction());
    timer.after(workMs, () => {
      result.slot.release();
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

test("above capacity, admitted requests of varying length are in time", async (t) => {
  for (const seed of [1, 2, 3]) {
    const { late, ran } = await countLate(seed);
    t.ok(ran > 900, `seed ${seed}: ${ran} of 1,000 possible requests ran`);
    t.ok(late / ran < 0.1, `seed ${seed}: ${late} of ${ran} are late`);
  }
});

test("at twice the load, requests that can't run in time are refused at once", async (t) => {
  const timer = createFakeTimer();
  const admission = createBusyAdmission(timer);
  const refusals: { afterMs: number; waitMs: number }[] = [];
  let late = 0;
  let ended = 0;
  async function arrive(): Promise<void> {
    const at = timer.now();
    const request: AdmissionRequest = {
      workspace: "a",
      rank: 0,
      deadlineAt: at + 300,
      objectiveAt: at + 200,
      usualMs: WORK_MS,
      exclusive: false,
      signal: neverCancelled,
    };
    const result = await admission.admit(request);
    if (result.kind === "refused") {
      const afterMs = timer.now() - at;
      refusals.push({ afterMs, waitMs: result.waitMs ?? 0 });
      return;
    }
    timer.after(WORK_MS, () => {
      result.slot.release();
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
  t.ok(
    refusals.every(({ waitMs }) => waitMs > 0),
    "each refusal carries an expected wait",
  );
  t.ok(ended > 450, `all slots stay in use: ${ended} requests end`);
  t.ok(late / ended < 0.1, `${late} of ${ended} are late`);
});
