/**
 * Bodies without end, at a run and at a health check: what is no answer is
 * read within bounds, and its connection is closed.
 */
import { test } from "tap";
import { createCanceller } from "../../src/core/cancellation.ts";
import type { BackendDialect } from "../../src/http/dialect.ts";
import { httpBackends } from "../../src/guard/http_backend.ts";
import { type End, runAttempt } from "../../src/guard/run.ts";
import type { Channel } from "../../src/network/channel.ts";
import { fakeAttempt } from "../../src/network/fake_attempt.ts";
import type { Attempt, Frame, Load } from "../../src/network/frames.ts";
import { createLocalPair } from "../../src/network/local.ts";
import { createFakeTimer, type FakeTimer } from "../../src/time/fake_timer.ts";
import { eventually } from "../processes.ts";
import {
  type RawConnection,
  type RawServer,
  startRawServer,
} from "./raw_server.ts";

const DEADLINE_MS = 800;
const LOAD: Load = {
  inFlight: 0,
  allowed: 1,
  queued: 0,
  version: 1,
  slowness: 1,
  incarnation: "one",
};

/** A server proves by a header that it did not run a request. */
const dialect: BackendDialect = {
  requestHeaders: () => [],
  judge: ({ headers }) => ({
    notRun: headers.some(([name]) => name === "x-not-run"),
    defect: headers.some(([name]) => name === "x-wrong") ? "wrong" : undefined,
  }),
};
const createBackend = httpBackends(dialect);

interface Lab {
  server: RawServer;
  timer: FakeTimer;
  /** Runs an attempt; the caller reads the frames of the channel. */
  run(change?: Partial<Attempt>): {
    near: Channel;
    ended: Promise<End>;
    delivered: Promise<void>;
    failures: string[];
    /** Settles once the head of the answer has come. */
    headCame: Promise<void>;
  };
}

async function startLab(
  answer: (connection: RawConnection) => void,
): Promise<Lab> {
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
    run(change = {}) {
      const [near, far] = createLocalPair("guard:1");
      const gone = createCanceller();
      far.onClose(gone.cancel);
      const failures: string[] = [];
      let noteHead = (): void => {};
      const headCame = new Promise<void>((resolve) => {
        noteHead = resolve;
      });
      const run = runAttempt({
        channel: far,
        frame: fakeAttempt({
          attempt: { source: "elsewhere", order: requests },
          timeLeftMs: DEADLINE_MS,
          headers: [["host", "a"]],
          ...change,
        }),
        backend,
        instance: "",
        timer,
        gone,
        load: () => LOAD,
        shedMeansNotRun: true,
        onFailure: (error) => failures.push(error.failure),
        onCompletion: () => {},
        onVerdict: noteHead,
      });
      return { near, failures, headCame, ...run };
    },
  };
}

/** Next frame that is more than a sign of life. */
async function nextFrame(channel: Channel): Promise<Frame | undefined> {
  while (true) {
    const frame = await channel.receive();
    if (frame?.kind !== "pong") {
      return frame;
    }
  }
}

/** The connection is closed, and the next request is served on another. */
async function servesNext(lab: Lab): Promise<End> {
  await eventually("it is closed", () => lab.server.connections[0].closed);
  return await lab.run().ended;
}

const SHED = "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\n";
const FLOOD = "no answer ";

test("a refusal whose body has no end is told, and its connection closed", async (t) => {
  const lab = await startLab((connection) => {
    connection.write(`${SHED}\r\n`);
    connection.flood(FLOOD);
  });
  t.teardown(lab.server.close);
  const run = lab.run({ repeatable: false });
  t.match(await run.ended, { kind: "refused", reason: "shed" });
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});

for (
  const [what, head] of [
    ["has no length", `${SHED}\r\n`],
    ["is short", `${SHED}content-length: 9\r\n\r\n`],
    ["is a busy answer's", "HTTP/1.1 503 Busy\r\ncontent-length: 9\r\n\r\n"],
  ]
) {
  test(`a refusal whose body ${what} and comes now and then is told at once`, async (t) => {
    const lab = await startLab((connection) => connection.write(`${head}a`));
    t.teardown(lab.server.close);
    const run = lab.run({ repeatable: false });
    await run.headCame;
    await lab.timer.advance(DEADLINE_MS / 10);
    t.match(await run.ended, { kind: "refused", reason: "shed" });
    t.match(await servesNext(lab), { kind: "answer", status: 200 });
  });
}

test("a success without end goes on past the deadline until its caller leaves", async (t) => {
  const lab = await startLab((connection) => {
    connection.write("HTTP/1.1 200 OK\r\n\r\n");
    connection.flood(FLOOD);
  });
  t.teardown(lab.server.close);
  const run = lab.run({ repeatable: false });
  t.match(await nextFrame(run.near), { kind: "answer", streaming: true });
  await lab.timer.advance(2 * DEADLINE_MS);
  t.equal((await nextFrame(run.near))?.kind, "data");
  t.notOk(lab.server.connections[0].closed);
  run.near.close();
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});

test("a failure whose body has no end is cut at the deadline", async (t) => {
  const lab = await startLab((connection) => {
    connection.write("HTTP/1.1 500 No\r\n\r\n");
    connection.flood(FLOOD);
  });
  t.teardown(lab.server.close);
  const run = lab.run();
  t.match(await nextFrame(run.near), { kind: "answer", streaming: true });
  t.equal((await nextFrame(run.near))?.kind, "data");
  await lab.timer.advance(2 * DEADLINE_MS);
  let last: Frame | undefined;
  do {
    last = await nextFrame(run.near);
  } while (last?.kind === "data");
  t.equal(last, undefined, "the channel is closed, so it never looks whole");
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});

test("a success without end is cut when no route allows more time", async (t) => {
  const lab = await startLab((connection) => {
    connection.write("HTTP/1.1 200 OK\r\n\r\n");
    connection.flood(FLOOD);
  });
  t.teardown(lab.server.close);
  const run = lab.run();
  t.match(await nextFrame(run.near), { kind: "answer", streaming: true });
  await lab.timer.advance(600_000);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});

test("a defective answer whose body has no end is closed at its head", async (t) => {
  const lab = await startLab((connection) => {
    connection.write("HTTP/1.1 200 OK\r\nx-wrong: 1\r\n\r\n");
    connection.flood(FLOOD);
  });
  t.teardown(lab.server.close);
  const run = lab.run({ repeatable: false });
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.same(run.failures, ["defective"]);
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});

test("a success whose last bytes never come is unknown after the deadline", async (t) => {
  const lab = await startLab((connection) =>
    connection.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart")
  );
  t.teardown(lab.server.close);
  const run = lab.run();
  await run.headCame;
  await lab.timer.advance(2 * DEADLINE_MS);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});

test("a head that comes now and then is given up at the deadline", async (t) => {
  const lab = await startLab((connection) => connection.write("HTTP/1.1 200 "));
  t.teardown(lab.server.close);
  const run = lab.run();
  await eventually(
    "it has begun to answer",
    () => (lab.server.connections[0]?.written ?? 0) > 0,
  );
  await lab.timer.advance(DEADLINE_MS / 2);
  lab.server.connections[0].write("a");
  await lab.timer.advance(DEADLINE_MS);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});

test("a body without end after the caller has left is closed", async (t) => {
  const lab = await startLab((connection) => {
    connection.write("HTTP/1.1 200 OK\r\n\r\npart");
  });
  t.teardown(lab.server.close);
  const run = lab.run({ repeatable: false });
  await run.headCame;
  run.near.close();
  lab.server.connections[0].flood(FLOOD);
  t.match(await run.ended, { kind: "failed", outcome: "unknown" });
  t.match(await servesNext(lab), { kind: "answer", status: 200 });
});
