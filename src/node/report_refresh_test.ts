import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createReportRefresh } from "./report_refresh.ts";

function startRefresh(answerMs = 0) {
  const timer = createFakeTimer();
  let reportedAt = 0;
  let queued = 0;
  let requests = 0;
  const refresh = createReportRefresh({
    timer,
    ageMs: () => timer.now() - reportedAt,
    queued: () => queued,
    async requestReport() {
      requests++;
      await new Promise<void>((resolve) => timer.after(answerMs, resolve));
      reportedAt = timer.now();
    },
  });
  return {
    timer,
    refresh,
    requests: () => requests,
    setQueued: (count: number) => {
      queued = count;
    },
    recordReport: () => {
      reportedAt = timer.now();
    },
  };
}

test("no report is requested while answers carry fresh reports", async (t) => {
  const { timer, refresh, requests, recordReport } = startRefresh();
  for (let count = 0; count < 50; count++) {
    refresh.ensureFresh();
    recordReport();
    await timer.advance(20);
  }
  t.equal(requests(), 0);
});

test("an attempt that finds the report stale requests one", async (t) => {
  const { timer, refresh, requests } = startRefresh();
  await timer.advance(1_000);
  t.equal(
    requests(),
    0,
    "a stale report is not refreshed while the guard is idle",
  );
  refresh.ensureFresh();
  t.equal(requests(), 1);
  await timer.advance(1_000);
  t.equal(
    requests(),
    1,
    "no second report is requested before the next attempt",
  );
});

test("reports are requested repeatedly while attempts are queued", async (t) => {
  const { timer, refresh, requests, setQueued } = startRefresh();
  setQueued(1);
  refresh.ensureFresh();
  await timer.advance(400);
  t.equal(requests(), 10);
  setQueued(0);
  await timer.advance(1_000);
  t.equal(requests(), 10);
});

test("no report is requested while a request for one is in flight", async (t) => {
  const { timer, refresh, requests } = startRefresh(200);
  await timer.advance(1_000);
  for (let count = 0; count < 30; count++) {
    refresh.ensureFresh();
    await timer.advance(5);
  }
  t.equal(requests(), 1);
});
