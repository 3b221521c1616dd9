/**
 * Guards against a backend server whose answer has a body that never ends or
 * arrives too slowly. Such a body must not occupy the server's connection for
 * ever: the guard limits it in bytes or time, then closes the connection.
 */
import { test } from "tap";
import { createCanceller } from "../../src/core/cancellation.ts";
import type { BackendDialect } from "../../src/http/dialect.ts";
import { createHttpBackendFactory } from "../../src/guard/http_backend.ts";
import { type AttemptResult, runAttempt } from "../../src/guard/run.ts";
import type { Channel } from "../../src/network/channel.ts";
import { createFakeAttempt } from "../../src/network/fake_attempt.ts";
import type { Attempt, Frame, Load } from "../../src/network/frames.ts";
import { createLocalChannelPair } from "../../src/network/local.ts";
import { createFakeTimer, type FakeTimer } from "../../src/time/fake_timer.ts";
import { eventually } from "../processes.ts";
import {
  type RawConnection,
  type RawServer,
  startRawServer,
} from "./raw_server.ts";

const DEADLINE_MS = 800;
/** Time past its deadline in which an attempt ends. */
const END_BOUND_MS = 250;
const LOAD: Load = {
  inFlight: 0,
  allowed: 1,
  queued: 0,
  version: 1,
  slowness: 1,
  incarnation: "one",
};

/**
 * A dialect in which headers mark a request as not run, or an answer as
 * defective.
 */
const dialect: BackendDialect = {
  namesRequests: false,
  requestHeaders: () => [],
  readMetadata: ({ headers }) => ({
    notRun: headers.some(([name]) => name === "x-not-run"),
    defect: headers.some(([name]) => name === "x-wrong") ? "wrong" : undefined,
  }),
};
const createBackend = createHttpBackendFactory(dialect);

interface TestSetup {
  server: RawServer;
  timer: FakeTimer;
  /** Runs an attempt; the test reads its frames from `senderChannel`. */
  run(overrides?: Partial<Attempt>): {
    senderChannel: Channel;
    ended: Promise<AttemptResult>;
    delivered: Promise<void>;
    failures: string[];
    /** Resolves once the head of the answer was received. */
    headReceived: Promise<void>;
  };
}

async function startSetup(
  answer: (connection: RawConnection) => void,
): Promise<TestSetup> {
  let requests = 0;
  const server = await startRawServer((connection) => {
    if (requests++ === 0) {
      answer(connection);
    } else {
      connection.write("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nsound");
    }
  });
  const timer = createFakeTimer();
  const backend = createBackend({
    address: server.address,
    connections: 1,
    connectTimeoutMs: 500,
  });
  return {
    server,
    timer,
    run(overrides = {}) {
      const [senderChannel, guardChannel] = createLocalChannelPair("guard:1");
      const channelClosed = createCanceller();
      guardChannel.onClose(channelClosed.cancel);
      const failures: string[] = [];
      let resolveHead = (): void => {};
      const headReceived = new Promise<void>((resolve) => {
        resolveHead = resolve;
      });
      const run = runAttempt({
        channel: guardChannel,
        frame: createFakeAttempt({
          attempt: { source: "elsewhere", order: requests },
          timeLeftMs: DEADLINE_MS,
          headers: [["host", "a"]],
          ...overrides,
        }),
        backend,
        instance: "",
        timer,
        channelClosed,
        load: () => LOAD,
        shedMeansNotRun: true,
        onFailure: (error) => failures.push(error.failure),
        onCompletion: () => {},
        onAnswerMetadata: resolveHead,
      });
      return {
        senderChannel,
        failures,
        headReceived,
        ...run,
      };
    },
  };
}

/** Returns the next frame that is not a keepalive. */
async function nextFrame(channel: Channel): Promise<Frame | undefined> {
  while (true) {
    const frame = await channel.receive();
    if (frame?.kind !== "pong") {
      return frame;
    }
  }
}

/**
 * Waits until the first connection is closed, and runs an attempt on another.
 */
async function runNext(setup: TestSetup): Promise<AttemptResult> {
  await eventually(
    "the first connection is closed",
    () => setup.server.connections[0].closed,
  );
  return await setup.run().ended;
}

const SHED_HEAD = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n";
const ENDLESS_TEXT = "no answer ";

test("a refusal with an endless body is reported, and its connection is closed", async (t) => {
  const setup = await startSetup((connection) => {
    connection.write(`${SHED_HEAD}\r\n`);
    connection.flood(ENDLESS_TEXT);
  });
  t.teardown(setup.server.close);
  const run = setup.run({ repeatable: false });
  t.match(await run.ended, { kind: "refused", reason: "shed" });
  t.match(await runNext(setup), { kind: "answer", status: 200 });
});

for (
  const [description, head] of [
    ["has no length", `${SHED_HEAD}\r\n`],
    ["is short", `${SHED_HEAD}content-length: 9\r\n\r\n`],
    [
      "belongs to a 503 answer without the header",
      "HTTP/1.1 503 Busy\r\ncontent-length: 9\r\n\r\n",
    ],
  ]
) {
  test(`a refusal whose body ${description} and is never completed is reported well before the deadline`, async (t) => {
    const setup = await startSetup((connection) =>
      connection.write(`${head}a`)
    );
    t.teardown(setup.server.close);
    const run = setup.run({ repeatable: false });
    await run.headReceived;
    await setup.timer.advance(DEADLINE_MS / 10);
    t.match(await run.ended, { kind: "refused", reason: "shed" });
    t.match(await runNext(setup), { kind: "answer", status: 200 });
  });
}

test("an endless successful answer is streamed until its caller disconnects", async (t) => {
  const setup = await startSetup((connection) => {
    connection.write("HTTP/1.1 200 OK\r\n\r\n");
    connection.flood(ENDLESS_TEXT);
  });
  t.teardown(setup.server.close);
  const run = setup.run({ repeatable: false });
  t.match(await nextFrame(run.senderChannel), {
    kind: "answer",
    streaming: true,
  });
  await setup.timer.advance(DEADLINE_MS - 10);
  t.equal((await nextFrame(run.senderChannel))?.kind, "data");
  t.notOk(setup.server.connections[0].closed);
  run.senderChannel.close();
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await runNext(setup), { kind: "answer", status: 200 });
});

for (const status of ["500 No", "200 OK"]) {
  test(`an answer ${status} with an endless body is cut off at the deadline`, async (t) => {
    const setup = await startSetup((connection) => {
      connection.write(`HTTP/1.1 ${status}\r\n\r\n`);
      connection.flood(ENDLESS_TEXT);
    });
    t.teardown(setup.server.close);
    const run = setup.run();
    t.match(await nextFrame(run.senderChannel), {
      kind: "answer",
      streaming: true,
    });
    t.equal((await nextFrame(run.senderChannel))?.kind, "data");
    await setup.timer.advance(DEADLINE_MS + END_BOUND_MS);
    let last: Frame | undefined;
    do {
      last = await nextFrame(run.senderChannel);
    } while (last?.kind === "data");
    t.equal(
      last,
      undefined,
      "the channel is closed without an end frame, so the answer does not look complete",
    );
    t.match(await run.ended, { kind: "failed", outcome: "unknown" });
    t.match(await runNext(setup), { kind: "answer", status: 200 });
  });
}

test("an endless successful answer is cut off after the longest timeout that a route may have", async (t) => {
  const setup = await startSetup((connection) => {
    connection.write("HTTP/1.1 200 OK\r\n\r\n");
    connection.flood(ENDLESS_TEXT);
  });
  t.teardown(setup.server.close);
  const run = setup.run();
  t.match(await nextFrame(run.senderChannel), {
    kind: "answer",
    streaming: true,
  });
  await setup.timer.advance(600_000);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await runNext(setup), { kind: "answer", status: 200 });
});

test("the connection of a defective answer with an endless body is closed after its head", async (t) => {
  const setup = await startSetup((connection) => {
    connection.write("HTTP/1.1 200 OK\r\nx-wrong: 1\r\n\r\n");
    connection.flood(ENDLESS_TEXT);
  });
  t.teardown(setup.server.close);
  const run = setup.run({ repeatable: false });
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.same(run.failures, ["defective"]);
  t.match(await runNext(setup), { kind: "answer", status: 200 });
});

test("a successful answer whose last bytes never arrive fails as unknown after the deadline", async (t) => {
  const setup = await startSetup((connection) =>
    connection.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart")
  );
  t.teardown(setup.server.close);
  const run = setup.run();
  await run.headReceived;
  await setup.timer.advance(2 * DEADLINE_MS);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await runNext(setup), { kind: "answer", status: 200 });
});

test("an answer whose head arrives too slowly fails at the deadline", async (t) => {
  const setup = await startSetup((connection) =>
    connection.write("HTTP/1.1 200 ")
  );
  t.teardown(setup.server.close);
  const run = setup.run();
  await eventually(
    "the server has started to answer",
    () => (setup.server.connections[0]?.bytesWritten ?? 0) > 0,
  );
  await setup.timer.advance(DEADLINE_MS / 2);
  setup.server.connections[0].write("a");
  await setup.timer.advance(DEADLINE_MS);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await runNext(setup), { kind: "answer", status: 200 });
});

test("the connection of an endless body is closed after the caller has disconnected", async (t) => {
  const setup = await startSetup((connection) => {
    connection.write("HTTP/1.1 200 OK\r\n\r\npart");
  });
  t.teardown(setup.server.close);
  const run = setup.run({ repeatable: false });
  await run.headReceived;
  run.senderChannel.close();
  setup.server.connections[0].flood(ENDLESS_TEXT);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await runNext(setup), { kind: "answer", status: 200 });
});
