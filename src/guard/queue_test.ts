import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { type AdmissionRequest, createAdmission } from "./admission.ts";
import { createColdRate } from "./cold_rate.ts";

const WORK_MS = 100;

function createAdmissionWithOneSlot(timer: ReturnType<typeof createFakeTimer>) {
  const rate = createColdRate(
    timer,
    () => ({ perSecond: 100, coldMs: 0, slots: 1 }),
  );
  rate.noteCold(0);
  return createAdmission({
    timer,
    warmup: () => rate,
    limits: { connections: 5, queueLimit: 3, queueWaitMs: 10_000 },
  });
}

test("the queue orders by rank, then objective, then deadline", async (t) => {
  const timer = createFakeTimer();
  const admission = createAdmissionWithOneSlot(timer);
  const order: string[] = [];
  async function arrive(
    name: string,
    change: Partial<AdmissionRequest>,
  ): Promise<void> {
    const result = await admission.admit({
      workspace: "a",
      rank: 1,
      deadlineAt: timer.now() + 5_000,
      objectiveAt: timer.now() + 1_000,
      usualMs: WORK_MS,
      exclusive: false,
      signal: neverCancelled,
      ...change,
    });
    if (result.kind === "refused") {
      order.push(`${name} refused: ${result.reason}`);
      return;
    }
    order.push(name);
    timer.after(WORK_MS, () => result.slot.release());
  }
  void arrive("first", {});
  void arrive("late for its objective", {
    deadlineAt: timer.now() + 2_000,
    objectiveAt: timer.now() + 50,
  });
  void arrive("in time", {});
  void arrive("urgent", { rank: 0 });
  void arrive("one too many", { objectiveAt: timer.now() + 50 });
  void arrive("replaces one that waits", { rank: 0 });
  void arrive("too late for its deadline", { deadlineAt: timer.now() + 20 });
  await timer.advance(1_000);
  t.same(order, [
    "first",
    "one too many refused: overloaded",
    "late for its objective refused: overloaded",
    "too late for its deadline refused: no_time",
    "urgent",
    "replaces one that waits",
    "in time",
  ]);
});
