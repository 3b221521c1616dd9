import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createReportRefresh } from "./report_refresh.ts";

function start(answerMs = 0) {
  const timer = createFakeTimer();
  let reportedAt = 0;
  let queued = 0;
  let asked = 0;
  const refresh = createReportRefresh({
    timer,
    ageMs: () => timer.now() - reportedAt,
    queued: () => queued,
    async ask() {
      asked++;
      await new Promise<void>((resolve) => timer.after(answerMs, resolve));
      reportedAt = timer.now();
    },
  });
  return {
    timer,
    refresh,
    asked: () => asked,
    wait: (count: number) => {
      queued = count;
    },
    report: () => {
      reportedAt = timer.now();
    },
  };
}

test("a server that answers is not asked for its report", async (t) => {
  const { timer, refresh, asked, report } = start();
  for (let count = 0; count < 50; count++) {
    refresh.needed();
    report();
    await timer.advance(20);
  }
  t.equal(asked(), 0);
});

test("a report is asked for once an attempt finds it old", async (t) => {
  const { timer, refresh, asked } = start();
  await timer.advance(1_000);
  t.equal(asked(), 0, "not at rest");
  refresh.needed();
  t.equal(asked(), 1);
  await timer.advance(1_000);
  t.equal(asked(), 1, "and not again until the next");
});

test("while attempts wait, it is asked when the server is fast again", async (t) => {
  const { timer, refresh, asked, wait } = start();
  wait(1);
  refresh.needed();
  await timer.advance(400);
  t.equal(asked(), 10);
  wait(0);
  await timer.advance(1_000);
  t.equal(asked(), 10);
});

test("a server that is being asked is not asked again", async (t) => {
  const { timer, refresh, asked } = start(200);
  await timer.advance(1_000);
  for (let count = 0; count < 30; count++) {
    refresh.needed();
    await timer.advance(5);
  }
  t.equal(asked(), 1);
});
