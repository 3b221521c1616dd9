/**
 * Guards against a request that stays open past its route's timeout because the
 * answer has begun (review/9): its server falls silent or sends slowly, its guard
 * stands still, or its caller does not read.
 */
import { test } from "tap";
import { type Cancellation, createCanceller } from "../core/cancellation.ts";
import type { Channel } from "../network/channel.ts";
import { createFakeNetwork } from "../network/fake_network.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import type { Timer } from "../time/timer.ts";
import { type AnswerStream, createAnswerStream } from "./answer_stream.ts";
import { createFrameReader } from "./frame_reader.ts";

const GUARD = "guard:1";
const DEADLINE_MS = 1_000;
/** Time past the deadline in which each request has ended. */
const END_BOUND_MS = 250;
const KEEPALIVE_MS = 100;
const SILENCE_MS = 400;

async function createSetup(
  { wrap = (timer: Timer) => timer, reachable = true }: {
    wrap?: (timer: Timer) => Timer;
    reachable?: boolean;
  } = {},
) {
  const timer = createFakeTimer();
  const network = createFakeNetwork(timer, 1);
  const accepted: Channel[] = [];
  await network.from("guard").listen(GUARD, (channel) => {
    accepted.push(channel);
  });
  const connecting = network.from("here").connect(GUARD, 100);
  await timer.advance(5);
  const channel = await connecting;
  const streamTimer = wrap(timer);
  const signal = createCanceller();
  let given = 0;
  const stream = createAnswerStream({
    channel,
    reader: createFrameReader(channel, {
      timer: streamTimer,
      silenceMs: () => SILENCE_MS,
    }),
    timer: streamTimer,
    reachability: { check: () => Promise.resolve(reachable) },
    first: Uint8Array.of(0),
    deadlineAt: DEADLINE_MS,
    signal,
    onComplete: () => given++,
  });
  const [guard] = accepted;
  return {
    timer,
    stream,
    signal,
    channel,
    guard,
    /** How often the channel was given back. */
    given: () => given,
    sendKeepalives: () =>
      timer.every(KEEPALIVE_MS, () => {
        void guard.send({ kind: "pong" }).catch(() => {});
      }),
  };
}

/** What became of a stream. */
interface Outcome {
  bytes: number;
  end: "open" | "whole" | "cut";
}

/** Reads a stream to its end, in the background. */
function readAll({ body }: AnswerStream): Outcome {
  const outcome: Outcome = { bytes: 0, end: "open" };
  async function read(): Promise<void> {
    for await (const part of body) {
      outcome.bytes += part.length;
    }
  }
  read().then(
    () => {
      outcome.end = "whole";
    },
    () => {
      outcome.end = "cut";
    },
  );
  return outcome;
}

function isCut(cut: Cancellation): boolean {
  return cut.cancelled;
}

test("a stream whose server is silent ends at its deadline, and not before", async (t) => {
  const setup = await createSetup();
  setup.sendKeepalives();
  const outcome = readAll(setup.stream);
  await setup.timer.advance(DEADLINE_MS - 50);
  t.equal(outcome.end, "open");
  await setup.timer.advance(END_BOUND_MS);
  t.same(outcome, { bytes: 1, end: "cut" });
  t.ok(setup.guard.closed, "the guard is told");
  t.equal(setup.given(), 0);
});

test("a stream whose server sends slowly ends at its deadline", async (t) => {
  const setup = await createSetup();
  setup.timer.every(KEEPALIVE_MS, () => {
    void setup.guard.send({ kind: "data", bytes: Uint8Array.of(1) })
      .catch(() => {});
  });
  const outcome = readAll(setup.stream);
  await setup.timer.advance(DEADLINE_MS + END_BOUND_MS);
  t.equal(outcome.end, "cut");
  t.ok(outcome.bytes > 5);
});

test("a stream whose guard stands still ends at its deadline", async (t) => {
  const setup = await createSetup();
  const outcome = readAll(setup.stream);
  await setup.timer.advance(DEADLINE_MS + END_BOUND_MS);
  t.equal(outcome.end, "cut");
});

test("a stream that ends in time is whole, and its channel is given back", async (t) => {
  const setup = await createSetup();
  const outcome = readAll(setup.stream);
  await setup.guard.send({ kind: "data", bytes: new Uint8Array(4) });
  await setup.timer.advance(DEADLINE_MS - 50);
  await setup.guard.send({ kind: "end" });
  await setup.timer.advance(END_BOUND_MS);
  t.same(outcome, { bytes: 5, end: "whole" });
  t.equal(setup.given(), 1);
  t.notOk(setup.guard.closed, "the deadline does not touch the next exchange");
  t.notOk(isCut(setup.stream.cut));
});

test("what has come whole by the deadline is delivered to a slow caller", async (t) => {
  const setup = await createSetup();
  await setup.guard.send({ kind: "data", bytes: new Uint8Array(4) });
  await setup.guard.send({ kind: "end" });
  await setup.timer.advance(DEADLINE_MS + END_BOUND_MS);
  t.notOk(isCut(setup.stream.cut));
  const outcome = readAll(setup.stream);
  await setup.timer.advance(10);
  t.same(outcome, { bytes: 5, end: "whole" });
});

test("a slow caller is told at the deadline that the end will not come", async (t) => {
  const setup = await createSetup();
  await setup.guard.send({ kind: "data", bytes: new Uint8Array(4) });
  await setup.timer.advance(DEADLINE_MS - 50);
  t.notOk(isCut(setup.stream.cut));
  await setup.timer.advance(END_BOUND_MS);
  t.ok(isCut(setup.stream.cut));
  t.ok(setup.guard.closed);
  const outcome = readAll(setup.stream);
  await setup.timer.advance(10);
  t.equal(outcome.end, "cut");
});

test("after a stall, what came meanwhile is read before the stream is cut", async (t) => {
  let stalled = false;
  const deferred: (() => void)[] = [];
  const setup = await createSetup({
    wrap: (timer) => ({
      ...timer,
      after: (ms, task) =>
        timer.after(ms, () => stalled ? deferred.push(task) : task()),
    }),
  });
  const outcome = readAll(setup.stream);
  stalled = true;
  await setup.timer.advance(DEADLINE_MS + END_BOUND_MS);
  stalled = false;
  deferred.forEach((task) => task());
  await setup.guard.send({ kind: "end" });
  await setup.timer.advance(10);
  t.equal(outcome.end, "whole");
});

test("a stream ends when its caller leaves", async (t) => {
  const setup = await createSetup();
  const outcome = readAll(setup.stream);
  setup.signal.cancel();
  await setup.timer.advance(10);
  t.equal(outcome.end, "cut");
  t.ok(setup.guard.closed);
});
