/**
 * Replays loads on fake time: guards run a fixed number of requests a second and
 * refuse the others.
 */
import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createThrottle } from "./throttle.ts";

const CLASS = "look";
const STEP_MS = 10;
const STEPS_PER_S = 100;
/** Time of which guards hold the requests in their queues, in seconds. */
const QUEUED_S = 0.1;

interface Load {
  seconds: number;
  offeredPerS: number;
  capacityPerS: number;
  isLate?: boolean;
}

interface Totals {
  sent: number;
  accepted: number;
  refusedByGuards: number;
}

/** Creates a replay whose throttle keeps its state from load to load. */
function createReplay() {
  const timer = createFakeTimer();
  const throttle = createThrottle({
    timer,
    randomFraction: createSeededRandom(1).fraction,
  });
  return async (load: Load): Promise<Totals> => {
    const { seconds, offeredPerS, capacityPerS, isLate = false } = load;
    const totals = { sent: 0, accepted: 0, refusedByGuards: 0 };
    let offered = 0;
    let room = 0;
    for (let step = 0; step < seconds * STEPS_PER_S; step++) {
      await timer.advance(STEP_MS);
      room = Math.min(
        QUEUED_S * capacityPerS,
        room + capacityPerS / STEPS_PER_S,
      );
      for (offered += offeredPerS / STEPS_PER_S; offered >= 1; offered--) {
        if (throttle.refuses(CLASS, isLate)) {
          continue;
        }
        totals.sent++;
        const hasRoom = room >= 1;
        room -= hasRoom ? 1 : 0;
        totals.accepted += hasRoom ? 1 : 0;
        totals.refusedByGuards += hasRoom ? 0 : 1;
        throttle.record(CLASS, hasRoom ? "accepted" : "refused");
      }
    }
    return totals;
  };
}

test("an overload of four times the capacity is refused without asking guards", async (t) => {
  const replay = createReplay();
  await replay({ seconds: 3, offeredPerS: 400, capacityPerS: 100 });
  const load = { seconds: 10, offeredPerS: 400, capacityPerS: 100 };
  const { accepted, refusedByGuards } = await replay(load);
  t.ok(accepted > 900, `${accepted} of 1000 that there is room for`);
  t.ok(refusedByGuards < 0.5 * accepted, `${refusedByGuards} asked in vain`);
});

test("a load within the capacity is never refused", async (t) => {
  const replay = createReplay();
  for (const offeredPerS of [20, 90, 5, 90]) {
    const load = { seconds: 3, offeredPerS, capacityPerS: 100 };
    const { sent } = await replay(load);
    t.ok(sent >= 3 * offeredPerS - 1, `${sent} at ${offeredPerS} a second`);
  }
});

test("a batch after a stall is not refused", async (t) => {
  const replay = createReplay();
  await replay({ seconds: 3, offeredPerS: 50, capacityPerS: 100 });
  await replay({ seconds: 1, offeredPerS: 0, capacityPerS: 100 });
  const { sent } = await replay({
    seconds: 0.1,
    offeredPerS: 2_000,
    capacityPerS: 2_000,
  });
  t.ok(sent >= 199, `${sent} of 200`);
});

test("throttling ends soon after the overload", async (t) => {
  const replay = createReplay();
  await replay({ seconds: 5, offeredPerS: 400, capacityPerS: 20 });
  await replay({ seconds: 3, offeredPerS: 80, capacityPerS: 100 });
  const { sent } = await replay({
    seconds: 2,
    offeredPerS: 80,
    capacityPerS: 100,
  });
  t.ok(sent >= 159, `${sent} of 160`);
});

test("requests that can no longer meet their objective are refused first", async (t) => {
  const timer = createFakeTimer();
  const { fraction } = createSeededRandom(1);
  const throttle = createThrottle({ timer, randomFraction: fraction });
  const sent = { timely: 0, late: 0 };
  const CAPACITY_PER_STEP = 1;
  const STEPS = 500;
  for (let step = 0; step < STEPS; step++) {
    await timer.advance(STEP_MS);
    const wanted = ["timely", "late", "late", "late"] as const;
    const passed = wanted.filter((one) =>
      !throttle.refuses(CLASS, one === "late")
    );
    passed.forEach((one, index) => {
      sent[one]++;
      const hasRoom = index < CAPACITY_PER_STEP;
      throttle.record(CLASS, hasRoom ? "accepted" : "refused");
    });
  }
  t.ok(sent.timely >= 0.98 * STEPS, `${sent.timely} of ${STEPS} in time`);
  t.ok(sent.late < 0.4 * STEPS, `${sent.late} of ${3 * STEPS} late ones`);
});

test("a kind of request does not pay for the refusals of another", async (t) => {
  const timer = createFakeTimer();
  const throttle = createThrottle({ timer, randomFraction: () => 0 });
  for (let count = 0; count < 100; count++) {
    await timer.advance(STEP_MS);
    throttle.refuses("flood", false);
    throttle.record("flood", "refused");
    t.notOk(throttle.refuses("other", false));
    throttle.record("other", "accepted");
  }
  t.ok(throttle.refuses("flood", true));
});
