import { test } from "tap";
import {
  arrivalOf,
  createEventLoopLag,
  type EventLoopLag,
  type LoopClock,
} from "./event_loop_lag.ts";

interface Loop {
  lag: EventLoopLag;
  /** Time goes by without a turn of the loop. */
  pass(ms: number): void;
  /** The poll ends. */
  poll(): void;
  /** The beat's timer fires. */
  beat(): void;
  /** Tasks that keep the loop turning. */
  pending(): number;
}

function createLoop(): Loop {
  let now = 0;
  let tasks: (() => void)[] = [];
  let beat = (): void => {};
  const clock: LoopClock = {
    now: () => now,
    afterPoll: (task) => void tasks.push(task),
    after(_, task) {
      beat = task;
      return () => {};
    },
  };
  return {
    lag: createEventLoopLag(clock),
    pass: (ms) => {
      now += ms;
    },
    poll() {
      const due = tasks;
      tasks = [];
      due.forEach((task) => task());
    },
    beat: () => beat(),
    pending: () => tasks.length,
  };
}

const noOne = () => false;

test("a loop that turns is not late, and is left alone", (t) => {
  const loop = createLoop();
  for (let count = 0; count < 10; count++) {
    loop.pass(25);
    t.notOk(loop.lag.late);
    t.equal(loop.lag.unreadMs, 0);
    loop.beat();
  }
  t.equal(loop.pending(), 0);
  t.end();
});

test("a hold-up is noticed by the poll or by the beat", (t) => {
  for (const first of ["poll", "beat"]) {
    const loop = createLoop();
    loop.pass(620);
    if (first === "beat") {
      loop.beat();
    }
    t.ok(loop.lag.late);
    t.equal(loop.lag.unreadMs, 600);
    loop.beat();
    for (let count = 0; count < 4; count++) {
      loop.poll();
    }
    t.notOk(loop.lag.late);
    t.equal(loop.lag.unreadMs, 0);
    t.equal(loop.pending(), 0);
  }
  t.end();
});

test("a hold-up is noticed at rest, when the beat is slow", (t) => {
  const loop = createLoop();
  for (let count = 0; count < 8; count++) {
    loop.pass(20);
    loop.beat();
  }
  loop.pass(240);
  t.notOk(loop.lag.late, "the beat is not due yet");
  for (let count = 0; count < 8; count++) {
    loop.pass(20);
    loop.beat();
  }
  loop.pass(620);
  t.ok(loop.lag.late);
  t.equal(loop.lag.unreadMs, 370);
  loop.poll();
  loop.pass(75);
  t.ok(loop.lag.late, "and the beat is fast again");
  t.equal(loop.lag.unreadMs, 370);
  t.end();
});

test("work waits for the poll that tells of closings", async (t) => {
  const loop = createLoop();
  const started: string[] = [];
  loop.pass(620);
  t.ok(loop.lag.late);
  loop.beat();
  void loop.lag.caughtUp(noOne).then(() => started.push("work"));
  loop.poll();
  await Promise.resolve();
  t.same(started, []);
  loop.poll();
  await Promise.resolve();
  t.same(started, ["work"]);
});

test("little work starts between two polls; what is gone goes first", async (t) => {
  const loop = createLoop();
  let gone = 0;
  let started = 0;
  loop.pass(620);
  t.ok(loop.lag.late);
  loop.beat();
  for (let index = 0; index < 100; index++) {
    const left = index % 2 === 0;
    void loop.lag.caughtUp(() => left).then(() => left ? gone++ : started++);
  }
  loop.poll();
  loop.poll();
  await Promise.resolve();
  t.equal(gone, 50);
  t.equal(started, 8);
  let known = false;
  void loop.lag.closingsKnown().then(() => {
    known = true;
  });
  loop.poll();
  loop.poll();
  await Promise.resolve();
  t.ok(known, "work under way is not behind them");
  t.equal(started, 24);
  for (let count = 0; count < 4; count++) {
    loop.poll();
  }
  await Promise.resolve();
  t.equal(started, 50);
});

test("a connection at each poll means that others are queued", async (t) => {
  const loop = createLoop();
  let started = 0;
  for (let count = 0; count < 20; count++) {
    loop.lag.noteAccepted();
    loop.pass(3);
    loop.beat();
    loop.poll();
  }
  t.ok(loop.lag.late);
  t.equal(loop.lag.unreadMs, 0, "how long they were queued is not known");
  void loop.lag.caughtUp(noOne).then(() => started++);
  // The queue is emptied before costly work starts.
  for (let count = 0; count < 5; count++) {
    loop.lag.noteAccepted();
    loop.pass(1);
    loop.poll();
  }
  await Promise.resolve();
  t.equal(started, 0);
  loop.poll();
  await Promise.resolve();
  t.equal(started, 1);
});

test("work starts though connections never stop coming", async (t) => {
  const loop = createLoop();
  let started = 0;
  for (let count = 0; count < 100; count++) {
    loop.lag.noteAccepted();
    loop.pass(2);
    loop.beat();
    if (loop.lag.late) {
      void loop.lag.caughtUp(noOne).then(() => started++);
    }
    loop.poll();
    await Promise.resolve();
  }
  t.ok(started > 50, `${started} have started`);
});

test("a connection now and then is no queue", (t) => {
  const loop = createLoop();
  for (let count = 0; count < 100; count++) {
    loop.lag.noteAccepted();
    loop.pass(2);
    loop.beat();
    loop.poll();
    loop.poll();
    t.notOk(loop.lag.late);
  }
  t.equal(loop.pending(), 0);
  t.end();
});

test("the arrival is the middle of what may be", (t) => {
  t.equal(arrivalOf(1_000, 600), 700);
  t.equal(arrivalOf(1_000, 0), 1_000);
  t.end();
});
