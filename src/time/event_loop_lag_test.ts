import { test } from "tap";
import {
  createEventLoopLag,
  estimateArrival,
  type EventLoopClock,
  type EventLoopLag,
} from "./event_loop_lag.ts";

interface FakeLoop {
  lag: EventLoopLag;
  /** Advances the clock without running the loop. */
  advance(ms: number): void;
  /** Completes a poll of the sockets. */
  poll(): void;
  /** Fires the timer that detects stalls. */
  tick(): void;
  /** Number of callbacks that wait for a poll. */
  pendingTasks(): number;
}

function createFakeLoop(): FakeLoop {
  let now = 0;
  let tasks: (() => void)[] = [];
  let tick = (): void => {};
  const clock: EventLoopClock = {
    now: () => now,
    afterPoll: (task) => void tasks.push(task),
    after(_, task) {
      tick = task;
      return () => {};
    },
  };
  return {
    lag: createEventLoopLag(clock),
    advance: (ms) => {
      now += ms;
    },
    poll() {
      const due = tasks;
      tasks = [];
      due.forEach((task) => task());
    },
    tick: () => tick(),
    pendingTasks: () => tasks.length,
  };
}

const neverCancelled = () => false;

test("a loop without stalls has no lag and schedules no polls", (t) => {
  const loop = createFakeLoop();
  for (let count = 0; count < 10; count++) {
    loop.advance(25);
    t.notOk(loop.lag.lagging);
    t.equal(loop.lag.maxUnreadMs, 0);
    loop.tick();
  }
  t.equal(loop.pendingTasks(), 0);
  t.end();
});

test("a stall is detected by a read or by the timer", (t) => {
  for (const noticedBy of ["read", "tick"]) {
    const loop = createFakeLoop();
    loop.advance(620);
    if (noticedBy === "tick") {
      loop.tick();
    }
    t.ok(loop.lag.lagging);
    t.equal(loop.lag.maxUnreadMs, 600);
    loop.tick();
    for (let count = 0; count < 4; count++) {
      loop.poll();
    }
    t.notOk(loop.lag.lagging);
    t.equal(loop.lag.maxUnreadMs, 0);
    t.equal(loop.pendingTasks(), 0);
  }
  t.end();
});

test("a stall is detected while the loop is idle and ticks slowly", (t) => {
  const loop = createFakeLoop();
  for (let count = 0; count < 8; count++) {
    loop.advance(20);
    loop.tick();
  }
  loop.advance(240);
  t.notOk(loop.lag.lagging, "no lag before the slow tick is due");
  for (let count = 0; count < 8; count++) {
    loop.advance(20);
    loop.tick();
  }
  loop.advance(620);
  t.ok(loop.lag.lagging);
  t.equal(loop.lag.maxUnreadMs, 370);
  loop.poll();
  loop.advance(75);
  t.ok(loop.lag.lagging, "the tick is fast again after a read");
  t.equal(loop.lag.maxUnreadMs, 370);
  t.end();
});

test("work that was read late waits for the poll that reports closes", async (t) => {
  const loop = createFakeLoop();
  const started: string[] = [];
  loop.advance(620);
  t.ok(loop.lag.lagging);
  loop.tick();
  void loop.lag.waitForTurn(neverCancelled).then(() => started.push("work"));
  loop.poll();
  await Promise.resolve();
  t.same(started, []);
  loop.poll();
  await Promise.resolve();
  t.same(started, ["work"]);
});

test("few tasks start between two polls; cancelled ones need not wait", async (t) => {
  const loop = createFakeLoop();
  let cancelled = 0;
  let started = 0;
  loop.advance(620);
  t.ok(loop.lag.lagging);
  loop.tick();
  for (let index = 0; index < 100; index++) {
    const isCancelled = index % 2 === 0;
    void loop.lag.waitForTurn(() => isCancelled).then(() =>
      isCancelled ? cancelled++ : started++
    );
  }
  loop.poll();
  loop.poll();
  await Promise.resolve();
  t.equal(cancelled, 50);
  t.equal(started, 8);
  let resumed = false;
  void loop.lag.waitForCloses().then(() => {
    resumed = true;
  });
  loop.poll();
  loop.poll();
  await Promise.resolve();
  t.ok(resumed, "running work does not wait behind queued tasks");
  t.equal(started, 24);
  for (let count = 0; count < 4; count++) {
    loop.poll();
  }
  await Promise.resolve();
  t.equal(started, 50);
});

test("a connection at every poll counts as a queue of connections", async (t) => {
  const loop = createFakeLoop();
  let started = 0;
  for (let count = 0; count < 20; count++) {
    loop.lag.recordAccept();
    loop.advance(3);
    loop.tick();
    loop.poll();
  }
  t.ok(loop.lag.lagging);
  t.equal(loop.lag.maxUnreadMs, 0, "the time in the accept queue is unknown");
  void loop.lag.waitForTurn(neverCancelled).then(() => started++);
  // Queued connections are accepted before work starts.
  for (let count = 0; count < 5; count++) {
    loop.lag.recordAccept();
    loop.advance(1);
    loop.poll();
  }
  await Promise.resolve();
  t.equal(started, 0);
  loop.poll();
  await Promise.resolve();
  t.equal(started, 1);
});

test("work starts even if new connections arrive at every poll", async (t) => {
  const loop = createFakeLoop();
  let started = 0;
  for (let count = 0; count < 100; count++) {
    loop.lag.recordAccept();
    loop.advance(2);
    loop.tick();
    if (loop.lag.lagging) {
      void loop.lag.waitForTurn(neverCancelled).then(() => started++);
    }
    loop.poll();
    await Promise.resolve();
  }
  t.ok(started > 50, `only ${started} of the tasks started`);
});

test("a connection at every second poll does not count as a queue", (t) => {
  const loop = createFakeLoop();
  for (let count = 0; count < 100; count++) {
    loop.lag.recordAccept();
    loop.advance(2);
    loop.tick();
    loop.poll();
    loop.poll();
    t.notOk(loop.lag.lagging);
  }
  t.equal(loop.pendingTasks(), 0);
  t.end();
});

test("the estimated arrival is the middle of the possible period", (t) => {
  t.equal(estimateArrival(1_000, 600), 700);
  t.equal(estimateArrival(1_000, 0), 1_000);
  t.end();
});
