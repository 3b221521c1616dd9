/**
 * Guards refused calls of 15 ms while requests of 240 ms filled the queue; the
 * requests that had made the calls failed with their work done.
 */
import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { createSeededRandom } from "../core/random.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import {
  type Admission,
  type Applicant,
  createAdmission,
} from "./admission.ts";
import { createColdRate } from "./cold_rate.ts";

const SLOTS = 14;
const QUEUE_LIMIT = 24;
const SHORT = { usualMs: 15, objectiveMs: 80, deadlineMs: 200 };
const LONG = { usualMs: 240, objectiveMs: 600, deadlineMs: 4_000 };

interface Server {
  admission: Admission;
  /** Time for which long work is held back; the server is slow meanwhile. */
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

function applicant(
  timer: FakeTimer,
  kind: typeof SHORT,
  change: Partial<Applicant> = {},
): Applicant {
  return {
    tenant: "a",
    rank: 2,
    deadlineAt: timer.now() + kind.deadlineMs,
    objectiveAt: timer.now() + kind.objectiveMs,
    usualMs: kind.usualMs,
    alone: false,
    signal: neverCancelled,
    ...change,
  };
}

/** What became of the short calls beside twice as much long work as fits. */
async function playOverload(
  seed: number,
  change: Partial<Applicant> = {},
): Promise<{ calls: number; refused: number; longEnded: number }> {
  const timer = createFakeTimer();
  const random = createSeededRandom(seed);
  const { admission } = createServer(timer);
  const counts = { calls: 0, refused: 0, longEnded: 0 };
  async function arrive(kind: typeof SHORT): Promise<void> {
    const isCall = kind === SHORT;
    const asked = applicant(timer, kind, isCall ? change : {});
    counts.calls += isCall ? 1 : 0;
    const verdict = await admission.admit(asked);
    if (verdict.kind === "refused") {
      counts.refused += isCall ? 1 : 0;
      return;
    }
    timer.after(kind.usualMs * (0.7 + 0.6 * random.fraction()), () => {
      verdict.place.release();
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

test("no short call is refused for longer work of the same rank", async (t) => {
  for (const seed of [1, 2, 3]) {
    const { calls, refused, longEnded } = await playOverload(seed);
    t.equal(refused, 0, `seed ${seed}: ${refused} of ${calls} are refused`);
    t.ok(longEnded > 450, `and long work goes on: ${longEnded} end`);
  }
});

test("nor is one that is late for its own objective", async (t) => {
  const late = { objectiveAt: 0 };
  const { calls, refused } = await playOverload(4, late);
  t.equal(refused, 0, `${refused} of ${calls} are refused`);
});

test("a call of higher rank number still waits for all above it", async (t) => {
  const { calls, refused } = await playOverload(5, { rank: 3 });
  t.ok(refused > calls / 2, `${refused} of ${calls} are refused`);
});

test("a free place is not refused for work that is held back", async (t) => {
  const timer = createFakeTimer();
  const server = createServer(timer);
  server.holdMs = 250;
  for (let count = 0; count < QUEUE_LIMIT; count++) {
    void server.admission.admit(applicant(timer, LONG));
  }
  await timer.advance(1);
  t.equal(server.admission.inFlight, 0, "all of it is held back");
  const asked = applicant(timer, SHORT);
  t.equal(server.admission.expectedWaitMs(asked), 0);
  let began = false;
  void server.admission.admit(asked).then(({ kind }) => {
    began = kind === "admitted";
  });
  await timer.advance(1);
  t.ok(began, "it begins at once");
});
