import { test } from "tap";
import { createLogger } from "../core/logger.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { noLag } from "../time/event_loop_lag.ts";
import { logEventLoopDelays } from "./event_loop.ts";
import { createRecentMax } from "./recent_max.ts";

test("a recent maximum covers one to two windows of time", (t) => {
  const recent = createRecentMax(10_000);
  t.equal(recent.value(0), 0);
  recent.record(600, 1_000);
  recent.record(20, 2_000);
  t.equal(recent.value(9_000), 600);
  t.equal(recent.value(19_000), 600);
  t.equal(recent.value(20_000), 0);
  t.end();
});

test("long delays of the event loop are logged at a limited rate", (t) => {
  const lines: string[] = [];
  const timer = createFakeTimer();
  let reportDelay = (_: number): void => {};
  logEventLoopDelays({
    timer,
    logger: createLogger({ write: (line) => lines.push(line) }),
    lag: {
      ...noLag,
      onTick(listener) {
        reportDelay = listener;
      },
    },
  });
  [0, 199, 200.4, 300, 400].forEach((ms) => reportDelay(ms));
  t.equal(lines.length, 1);
  t.match(lines[0], /process\.delayed ms=200$/);
  t.end();
});
