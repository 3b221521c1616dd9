import { test } from "tap";
import { createLogger } from "../core/logger.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import {
  type EventLoopTotals,
  readEventLoopTotals,
  watchBusyPeriods,
} from "./busy_periods.ts";

test("a busy period is logged with its turns until the loop waits", async (t) => {
  const lines: string[] = [];
  const timer = createFakeTimer();
  let totals: EventLoopTotals = { idleMs: 5, turns: 10, events: 1 };
  let tick = (_: number): void => {};
  watchBusyPeriods({
    timer,
    logger: createLogger({ write: (line) => lines.push(line) }),
    lag: {
      onTick(listener) {
        tick = listener;
      },
    },
    readTotals: () => totals,
  });
  async function pass(ms: number, change: Partial<EventLoopTotals>) {
    await timer.advance(ms);
    totals = { ...totals, ...change };
    tick(0);
  }
  await pass(900, { turns: 5_000, events: 3 });
  t.equal(lines.length, 0);
  await pass(200, { turns: 9_010, events: 4 });
  t.match(lines[0], /event=process\.busy ms=1100 turns=9000 events=3$/);
  await pass(5_000, { idleMs: 4_000 });
  t.equal(lines.length, 1, "the loop has waited");
  await pass(800, {});
  t.equal(lines.length, 1, "the next period is short");
});

test("the totals of this process grow", async (t) => {
  const before = readEventLoopTotals();
  await new Promise((resolve) => setTimeout(resolve, 20));
  const after = readEventLoopTotals();
  t.ok(after.turns > before.turns);
  t.ok(after.idleMs > before.idleMs);
});
