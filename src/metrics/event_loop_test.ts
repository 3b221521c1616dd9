import { test } from "tap";
import { createLogger } from "../core/logger.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { noLag } from "../time/event_loop_lag.ts";
import { logDelays } from "./event_loop.ts";
import { createRecentMax } from "./recent_max.ts";

test("the largest of recent values is shown for a while", (t) => {
  const recent = createRecentMax(10_000);
  t.equal(recent.value(0), 0);
  recent.note(600, 1_000);
  recent.note(20, 2_000);
  t.equal(recent.value(9_000), 600);
  t.equal(recent.value(19_000), 600);
  t.equal(recent.value(20_000), 0);
  t.end();
});

test("a hold-up is logged, and many are counted", (t) => {
  const lines: string[] = [];
  const timer = createFakeTimer();
  let beat = (_: number): void => {};
  logDelays({
    timer,
    logger: createLogger({ write: (line) => lines.push(line) }),
    lag: {
      ...noLag,
      onBeat(listener) {
        beat = listener;
      },
    },
  });
  [0, 199, 200.4, 300, 400].forEach((ms) => beat(ms));
  t.equal(lines.length, 1);
  t.match(lines[0], /process\.delayed ms=200$/);
  t.end();
});
