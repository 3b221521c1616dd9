/**
 * Guards against bytes of one request in the body of another (review/6): an
 * attempt may end before the body of its request was sent, and its channel then
 * carries the next attempt.
 */
import { test } from "tap";
import { createCanceller, neverCancelled } from "../core/cancellation.ts";
import { createSupervisor } from "../core/tasks.ts";
import { createFakeAttempt } from "../network/fake_attempt.ts";
import { createFakeNetwork } from "../network/fake_network.ts";
import type { Frame, Load } from "../network/frames.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createExchanger } from "./exchange.ts";
import type { ExchangeEnd } from "./exchange_end.ts";
import { createPeerPool } from "./peer_pool.ts";

const GUARD = "guard:1";
const FIRST = 1;
const SECOND = 2;
const DEADLINE_MS = 10_000;
const SETTLE_MS = 20;
const LOAD: Load = {
  inFlight: 1,
  allowed: 1,
  queued: 0,
  version: 1,
  slowness: 1,
  incarnation: "one",
};

/** Ends of an attempt that a guard may send before it has the whole body. */
const EARLY_ENDS = {
  refused: { kind: "refused", reason: "shed", retryAfterMs: 1, load: LOAD },
  failed: {
    kind: "failed",
    outcome: "unknown",
    cause: "reset",
    crashed: false,
    reached: true,
    load: LOAD,
  },
  answered: {
    kind: "answer",
    status: 413,
    headers: [],
    body: new Uint8Array(2),
    streaming: false,
    load: LOAD,
  },
  streamed: {
    kind: "answer",
    status: 200,
    headers: [],
    body: new Uint8Array(2),
    streaming: true,
    load: LOAD,
  },
} as const;

/** A body whose parts, of one byte each, are sent when the test says so. */
function createBody(byte: number) {
  const parts: Uint8Array[] = [];
  let ended = false;
  let wake = (): void => {};
  async function* read(): AsyncGenerator<Uint8Array> {
    while (true) {
      const part = parts.shift();
      if (part) {
        yield part;
      } else if (ended) {
        return;
      } else {
        await new Promise<void>((resolve) => {
          wake = resolve;
        });
      }
    }
  }
  return {
    stream: read(),
    add() {
      parts.push(Uint8Array.of(byte));
      wake();
    },
    end() {
      ended = true;
      wake();
    },
  };
}

/** A guard that notes the frames of each channel and ends attempts as told. */
async function createSetup() {
  const timer = createFakeTimer();
  const network = createFakeNetwork(timer, 1);
  const supervisor = createSupervisor({ timer, report: () => {} });
  /** Frames by channel, in order of their arrival. */
  const channels: Frame[][] = [];
  let send = (_frame: Frame): void => {};
  await network.from("guard").listen(GUARD, (channel) => {
    const frames: Frame[] = [];
    channels.push(frames);
    void (async () => {
      while (true) {
        const frame = await channel.receive();
        if (!frame) {
          return;
        }
        frames.push(frame);
        if (frame.kind === "attempt") {
          send = (reply) => void channel.send(reply).catch(() => {});
          send({ kind: "admitted" });
        }
      }
    })();
  });
  const pool = createPeerPool({
    network: network.from("own"),
    timer,
    supervisor,
    timeouts: () => ({ connectMs: 250, silenceMs: 5_000, idlePingMs: 60_000 }),
  });
  const exchanger = createExchanger({ pool, timer, silenceMs: () => 5_000 });

  async function start(
    order: number,
    options: {
      stream: AsyncIterable<Uint8Array>;
      signal?: typeof neverCancelled;
    },
  ): Promise<Promise<ExchangeEnd>[]> {
    const running = exchanger.run({
      address: GUARD,
      attempt: createFakeAttempt({
        attempt: { source: "here", order },
        streaming: true,
      }),
      signal: neverCancelled,
      deadlineAt: DEADLINE_MS,
      ...options,
    });
    await timer.advance(SETTLE_MS);
    return [running];
  }

  async function sendEnd(
    order: number,
    end: typeof EARLY_ENDS[keyof typeof EARLY_ENDS],
  ): Promise<void> {
    send({ ...end, attempt: { source: "here", order } } as unknown as Frame);
    await timer.advance(SETTLE_MS);
  }

  return {
    timer,
    channels,
    start,
    sendEnd,
    sendFrame(frame: Frame) {
      send(frame);
    },
    async stop() {
      const stopped = supervisor.stop();
      await timer.advance(100_000);
      await stopped;
    },
  };
}

/** Returns the bytes that a channel has brought behind an attempt. */
function bodyOf(frames: readonly Frame[], order: number): number[] {
  const at = frames.findIndex((frame) =>
    frame.kind === "attempt" && frame.attempt.order === order
  );
  const behind = at < 0 ? [] : frames.slice(at + 1);
  const next = behind.findIndex(({ kind }) => kind === "attempt");
  return behind.slice(0, next < 0 ? undefined : next).flatMap((frame) =>
    frame.kind === "data" ? [...frame.bytes] : []
  );
}

for (const [name, end] of Object.entries(EARLY_ENDS)) {
  test(`the rest of a body is in no other request: ${name} early`, async (t) => {
    const { channels, start, sendEnd, sendFrame, timer, stop } =
      await createSetup();
    const first = createBody(FIRST);
    const [running] = await start(FIRST, first);
    first.add();
    await timer.advance(SETTLE_MS);
    await sendEnd(FIRST, end);
    const ended = await running;
    t.equal(ended.kind, end.kind);
    if (ended.kind === "answer" && !(ended.body instanceof Uint8Array)) {
      sendFrame({ kind: "end" });
      await timer.advance(SETTLE_MS);
      for await (const _ of ended.body) {
        // Only the end of the stream is needed.
      }
    }
    const second = createBody(SECOND);
    await start(SECOND, second);
    second.add();
    await timer.advance(SETTLE_MS);
    first.add();
    first.end();
    await timer.advance(SETTLE_MS);
    second.add();
    second.end();
    await timer.advance(SETTLE_MS);
    t.same(
      channels.flatMap((frames) => bodyOf(frames, SECOND)),
      [SECOND, SECOND],
    );
    await stop();
  });
}

test("the rest of a body is in no other request: its caller leaves", async (t) => {
  const { channels, start, timer, stop } = await createSetup();
  const first = createBody(FIRST);
  const signal = createCanceller();
  const [running] = await start(FIRST, { ...first, signal });
  first.add();
  await timer.advance(SETTLE_MS);
  signal.cancel();
  await timer.advance(SETTLE_MS);
  t.equal((await running).kind, "lost");
  const second = createBody(SECOND);
  await start(SECOND, second);
  first.add();
  first.end();
  second.add();
  second.end();
  await timer.advance(SETTLE_MS);
  t.same(channels.flatMap((frames) => bodyOf(frames, SECOND)), [SECOND]);
  await stop();
});

test("a channel is used again after a body that was sent whole", async (t) => {
  for (const end of Object.values(EARLY_ENDS).slice(0, 3)) {
    const { channels, start, sendEnd, timer, stop } = await createSetup();
    const first = createBody(FIRST);
    const [running] = await start(FIRST, first);
    first.add();
    first.end();
    await timer.advance(SETTLE_MS);
    await sendEnd(FIRST, end);
    await running;
    const second = createBody(SECOND);
    await start(SECOND, second);
    second.add();
    second.end();
    await timer.advance(SETTLE_MS);
    t.equal(channels.length, 1, end.kind);
    t.same(bodyOf(channels[0], FIRST), [FIRST]);
    t.same(bodyOf(channels[0], SECOND), [SECOND]);
    await stop();
  }
});
