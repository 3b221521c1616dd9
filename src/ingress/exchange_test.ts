import { test } from "tap";
import { createCanceller } from "../core/cancellation.ts";
import type { Channel } from "../network/channel.ts";
import { createFakeNetwork } from "../network/fake_network.ts";
import { createFakeAttempt } from "../network/fake_attempt.ts";
import type { Load } from "../network/frames.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import type { ReceivedAnswer } from "./exchange_end.ts";
import { createExchanger } from "./exchange.ts";
import { discard } from "./hedge.ts";
import type { PeerPool } from "./peer_pool.ts";

const GUARD = "guard:1";
const KEEPALIVE_MS = 100;
const LOAD: Load = {
  inFlight: 1,
  allowed: 1,
  queued: 0,
  version: 1,
  slowness: 1,
  incarnation: "one",
};
const ATTEMPT = createFakeAttempt();

/** Starts an exchange whose answer is a stream that carries no further data. */
async function startSilentStream() {
  const timer = createFakeTimer();
  const network = createFakeNetwork(timer, 1);
  const accepted: Channel[] = [];
  await network.from("guard").listen(GUARD, (channel) => {
    accepted.push(channel);
    void channel.send({
      kind: "answer",
      attempt: ATTEMPT.attempt,
      status: 200,
      headers: [],
      body: new Uint8Array(1),
      streaming: true,
      load: LOAD,
    });
    timer.every(KEEPALIVE_MS, () => {
      void channel.send({ kind: "pong" }).catch(() => {});
    });
  });
  const connect = (address: string) =>
    network.from("here").connect(address, 100);
  const pool: PeerPool = {
    take: connect,
    connect,
    release: () => {},
    closeIdle: () => {},
    ping: () => Promise.resolve(undefined),
    idleCount: () => 0,
    close: () => {},
  };
  const signal = createCanceller();
  const exchanger = createExchanger({ pool, timer, silenceMs: () => 400 });
  const running = exchanger.run({
    address: GUARD,
    attempt: ATTEMPT,
    signal,
    deadlineAt: 1_000,
  });
  await timer.advance(10);
  const received = await running as ReceivedAnswer;
  return { timer, signal, received, guard: accepted[0] };
}

/** Reads a stream, and resolves with whether it was complete. */
async function isComplete({ body }: ReceivedAnswer): Promise<boolean> {
  try {
    for await (const _ of body as AsyncIterable<Uint8Array>) {
      // The data is not needed.
    }
    return true;
  } catch {
    return false;
  }
}

test("an unread stream is closed when it is discarded", async (t) => {
  const { timer, received, guard } = await startSilentStream();
  t.notOk(guard.closed);
  const member = {} as never;
  discard({ kind: "answer", received, member });
  await timer.advance(10);
  t.ok(guard.closed);
});

test("a stream without data is closed when its caller leaves", async (t) => {
  const { timer, signal, received, guard } = await startSilentStream();
  const reading = isComplete(received);
  await timer.advance(1_000);
  t.notOk(
    guard.closed,
    "a stream without data stays open while keepalives come",
  );
  signal.cancel();
  await timer.advance(10);
  t.ok(guard.closed);
  t.notOk(await reading);
});

test("an unread stream is closed when its caller leaves", async (t) => {
  const { timer, signal, guard } = await startSilentStream();
  signal.cancel();
  await timer.advance(10);
  t.ok(guard.closed);
});
