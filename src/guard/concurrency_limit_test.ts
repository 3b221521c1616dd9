import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import {
  type ConcurrencyLimit,
  createConcurrencyLimit,
} from "./concurrency_limit.ts";

const SLOTS = 12;

/** Notes requests beside any number of others; a full server slows by `x`. */
async function play(
  concurrency: ConcurrencyLimit,
  timer: FakeTimer,
  x: number,
): Promise<void> {
  const random = createSeededRandom(5);
  for (let count = 0; count < 300; count++) {
    const busy = 1 + random.integer(concurrency.worthFilling(SLOTS));
    const spread = 0.7 + 0.6 * random.fraction();
    const unseen = random.fraction() < 0.03 ? 5 : 1;
    const slower = busy > 0.8 * SLOTS ? x : 1;
    const kind = random.integer(2) === 0 ? "short" : "long";
    const workMs = kind === "short" ? 15 : 240;
    concurrency.note({
      class: kind,
      latencyMs: workMs * spread * unseen * slower,
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
  t.equal(concurrency.worthFilling(SLOTS), 9, "nothing is known at first");
  await play(concurrency, timer, 1.7);
  t.equal(concurrency.worthFilling(SLOTS), 9);
  await timer.advance(121_000);
  t.equal(
    concurrency.worthFilling(SLOTS),
    SLOTS,
    "after a while it is tried again",
  );
});

test("a server that stays fast is filled", async (t) => {
  const timer = createFakeTimer();
  const concurrency = createConcurrencyLimit(timer);
  await play(concurrency, timer, 1);
  t.equal(concurrency.worthFilling(SLOTS), SLOTS);
});
