import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createRequestLimit, type RequestLimit } from "./request_limit.ts";

/** Span within which a server may get no more than it named. */
const WINDOW_MS = 4_000;
const MS_PER_SECOND = 1_000;
/** Share above the named rate, and number of requests, that are tolerated. */
const TOLERANCE = 1.5;
const TOLERATED_REQUESTS = 5;

/** Starts requests as soon as the limit allows it. */
async function startAll(
  limit: RequestLimit,
  timer: ReturnType<typeof createFakeTimer>,
): Promise<number[]> {
  const starts: number[] = [];
  while (timer.now() < 3 * WINDOW_MS) {
    if (limit.pauseMs === 0) {
      limit.started();
      starts.push(timer.now());
    }
    await timer.advance(1);
  }
  return starts;
}

test("a limited server gets what it takes in any four seconds, and no more", async (t) => {
  for (const perSecond of [0.2, 0.5, 3, 19.4]) {
    const timer = createFakeTimer();
    const limit = createRequestLimit(timer);
    limit.noteAnswer(perSecond, timer.now());
    const starts = await startAll(limit, timer);
    const most = Math.max(
      ...starts.map((at) =>
        starts.filter((one) => one >= at && one < at + WINDOW_MS).length
      ),
    );
    const seconds = WINDOW_MS / MS_PER_SECOND;
    const bound = TOLERANCE * perSecond * seconds + TOLERATED_REQUESTS;
    t.ok(most <= bound, `${most} of at most ${bound} at ${perSecond} a second`);
    const used = starts.length / (3 * seconds * perSecond);
    t.ok(used > 0.9, `${Math.round(100 * used)} % of ${perSecond} is used`);
  }
});

test("a limit holds until a later request's answer names none", async (t) => {
  const timer = createFakeTimer();
  const limit = createRequestLimit(timer);
  await timer.advance(1_000);
  limit.noteAnswer(2, 900);
  limit.noteAnswer(undefined, 950);
  t.equal(limit.intervalMs, 500, "the request was sent before the naming");
  limit.noteAnswer(4, 960);
  t.equal(limit.intervalMs, 250, "the newest rate applies");
  limit.noteAnswer(undefined, 1_000);
  t.equal(limit.intervalMs, 0);
  t.equal(limit.pauseMs, 0);
});

test("another run of a server begins without a limit", (t) => {
  const timer = createFakeTimer();
  const limit = createRequestLimit(timer);
  limit.noteAnswer(1, 0);
  limit.started();
  limit.started();
  t.ok(limit.pauseMs > 0);
  limit.reset();
  t.equal(limit.pauseMs, 0);
  t.end();
});

test("a server that takes no requests gets a few, which tell when that ends", async (t) => {
  const timer = createFakeTimer();
  const limit = createRequestLimit(timer);
  limit.noteAnswer(0, timer.now());
  const starts = await startAll(limit, timer);
  t.ok(starts.length > 0);
  t.ok(starts.length <= 3 * TOLERATED_REQUESTS, `${starts.length} requests`);
  limit.noteAnswer(10, timer.now());
  await timer.advance(5_000);
  t.equal(limit.pauseMs, 0, "a higher rate applies soon");
});
