/**
 * Guards against the refusal of short calls while long requests fill the queue.
 * Guards refused calls of 15 ms while requests of 240 ms waited, so that the
 * requests that had made the calls failed after their work was done.
 */
import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { createSeededRandom } from "../core/random.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import {
  type Admission,
  type AdmissionRequest,
  createAdmission,
} from "./admission.ts";
import { createColdRate } from "./cold_rate.ts";

const SLOTS = 14;
const QUEUE_LIMIT = 24;
const SHORT = { usualMs: 15, objectiveMs: 80, deadlineMs: 200 };
const LONG = { usualMs: 240, objectiveMs: 600, deadlineMs: 4_000 };

interface Server {
  admission: Admission;
  /** Time for which long requests are held back, in ms; 0 for none. */
  holdMs: number;
}

function createServer(timer: FakeTimer): Server {
  const rate = createColdRate(
    timer,
    () => ({ perSecond: 10_000, coldMs: 0, slots: SLOTS }),
  );
  rate.noteCold(0);
  const server: Server = {
    holdMs: 0,
    admission: createAdmission({
      timer,
      warmup: () => rate,
      holdMs: (usualMs) => usualMs > LONG.usualMs / 2 ? server.holdMs : 0,
      limits: { connections: 260, queueLimit: QUEUE_LIMIT, queueWaitMs: 2_000 },
    }),
  };
  return server;
}

function createRequest(
  timer: FakeTimer,
  kind: typeof SHORT,
  change: Partial<AdmissionRequest> = {},
): AdmissionRequest {
  return {
    workspace: "a",
    rank: 2,
    deadlineAt: timer.now() + kind.deadlineMs,
    objectiveAt: timer.now() + kind.objectiveMs,
    usualMs: kind.usualMs,
    exclusive: false,
    signal: neverCancelled,
    ...change,
  };
}

/** Simulates short calls beside twice the long requests that fit. */
async function simulateOverload(
  seed: number,
  change: Partial<AdmissionRequest> = {},
): Promise<{ calls: number; refused: number; longEnded: number }> {
  const timer = createFakeTimer();
  const random = createSeededRandom(seed);
  const { admission } = createServer(timer);
  const counts = { calls: 0, refused: 0, longEnded: 0 };
  async function arrive(kind: typeof SHORT): Promise<void> {
    const isCall = kind === SHORT;
    const request = createRequest(timer, kind, isCall ? change : {});
    counts.calls += isCall ? 1 : 0;
    const result = await admission.admit(request);
    if (result.kind === "refused") {
      counts.refused += isCall ? 1 : 0;
      return;
    }
    timer.after(kind.usualMs * (0.7 + 0.6 * random.fraction()), () => {
      result.slot.release();
      counts.longEnded += isCall ? 0 : 1;
    });
  }
  const long = timer.every(8, () => void arrive(LONG));
  const short = timer.every(12, () => void arrive(SHORT));
  await timer.advance(10_000);
  long.cancel();
  short.cancel();
  await timer.advance(1_000);
  return counts;
}

test("no short call is refused for longer requests of the same rank", async (t) => {
  for (const seed of [1, 2, 3]) {
    const { calls, refused, longEnded } = await simulateOverload(seed);
    t.equal(
      refused,
      0,
      `seed ${seed}: ${refused} of ${calls} calls are refused`,
    );
    t.ok(longEnded > 450, `long requests still run: ${longEnded} end`);
  }
});

test("no short call is refused because it misses its objective", async (t) => {
  const late = { objectiveAt: 0 };
  const { calls, refused } = await simulateOverload(4, late);
  t.equal(refused, 0, `${refused} of ${calls} are refused`);
});

test("a call of a lower priority waits for all requests of higher priority", async (t) => {
  const { calls, refused } = await simulateOverload(5, { rank: 3 });
  t.ok(refused > calls / 2, `${refused} of ${calls} are refused`);
});

test("requests that are held back do not block a free slot", async (t) => {
  const timer = createFakeTimer();
  const server = createServer(timer);
  server.holdMs = 250;
  for (let count = 0; count < QUEUE_LIMIT; count++) {
    void server.admission.admit(createRequest(timer, LONG));
  }
  await timer.advance(1);
  t.equal(server.admission.inFlight, 0, "all long requests are held back");
  const request = createRequest(timer, SHORT);
  t.equal(server.admission.expectedWaitMs(request), 0);
  let began = false;
  void server.admission.admit(request).then(({ kind }) => {
    began = kind === "admitted";
  });
  await timer.advance(1);
  t.ok(began, "the short call starts at once");
});
