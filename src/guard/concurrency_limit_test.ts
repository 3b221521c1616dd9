import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import {
  type ConcurrencyLimit,
  createConcurrencyLimit,
} from "./concurrency_limit.ts";

const SLOTS = 12;

/**
 * Adds requests at random concurrencies. A nearly full server takes
 * `fullFactor` times as long.
 */
async function simulate(
  concurrency: ConcurrencyLimit,
  timer: FakeTimer,
  fullFactor: number,
): Promise<void> {
  const random = createSeededRandom(5);
  for (let count = 0; count < 300; count++) {
    const busy = 1 + random.integer(concurrency.usableSlots(SLOTS));
    const spread = 0.7 + 0.6 * random.fraction();
    const unreportedFactor = random.fraction() < 0.03 ? 5 : 1;
    const loadFactor = busy > 0.8 * SLOTS ? fullFactor : 1;
    const kind = random.integer(2) === 0 ? "short" : "long";
    const workMs = kind === "short" ? 15 : 240;
    concurrency.note({
      class: kind,
      latencyMs: workMs * spread * unreportedFactor * loadFactor,
      busyAtStart: busy,
      busyAtEnd: busy,
      slots: SLOTS,
    });
    await timer.advance(10);
  }
}

test("a server that slows down when nearly full is not filled", async (t) => {
  const timer = createFakeTimer();
  const concurrency = createConcurrencyLimit(timer);
  t.equal(concurrency.usableSlots(SLOTS), 9, "not filled before any sample");
  await simulate(concurrency, timer, 1.7);
  t.equal(concurrency.usableSlots(SLOTS), 9);
  await timer.advance(121_000);
  t.equal(
    concurrency.usableSlots(SLOTS),
    SLOTS,
    "full load is tried again after two minutes",
  );
});

test("a server that stays fast is filled", async (t) => {
  const timer = createFakeTimer();
  const concurrency = createConcurrencyLimit(timer);
  await simulate(concurrency, timer, 1);
  t.equal(concurrency.usableSlots(SLOTS), SLOTS);
});
