import { test } from "tap";
import { neverCancelled } from "../core/cancellation.ts";
import { silentLogger } from "../core/logger.ts";
import { createSupervisor } from "../core/tasks.ts";
import type { Channel } from "../network/channel.ts";
import { createFakeAttempt } from "../network/fake_attempt.ts";
import { createFakeNetwork } from "../network/fake_network.ts";
import type { Frame, Load } from "../network/frames.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import type { Timer } from "../time/timer.ts";
import type { ExchangeEnd } from "./exchange_end.ts";
import { createExchanger } from "./exchange.ts";
import { createPeerPool } from "./peer_pool.ts";

const SILENCE_MS = 400;
const GUARD = "guard:1";
const DEADLINE_MS = 5_000;
const LOAD: Load = {
  inFlight: 0,
  allowed: 1,
  queued: 0,
  version: 1,
  slowness: 1,
  incarnation: "one",
};
const ATTEMPT = createFakeAttempt({
  attempt: { source: "ingress", order: 1 },
  from: "ingress:1",
  requestId: "r1",
  class: "look",
  timeLeftMs: DEADLINE_MS,
  path: "/look/1",
});

/** Creates a timer that fires up to 1 ms early, as timers of Node.js do. */
function createTruncatingTimer(timer: Timer): Timer {
  return {
    ...timer,
    after: (delayMs, task) => timer.after(Math.trunc(delayMs), task),
  };
}

/**
 * Starts an exchanger, and a guard on another host that passes frames to
 * `answer`.
 */
async function startPair(
  answer: (channel: Channel, frame: Frame) => void,
  { deadlineAt = DEADLINE_MS, exchanges = 1 } = {},
) {
  const timer = createFakeTimer();
  const network = createFakeNetwork(timer, 1);
  const findings: string[] = [];
  await network.from("guard").listen(GUARD, async (channel) => {
    while (!channel.closed) {
      const frame = await channel.receive();
      if (frame) {
        answer(channel, frame);
      }
    }
  });
  const exchanger = createExchanger({
    pool: createPeerPool({
      network: network.from("ingress"),
      timer,
      supervisor: createSupervisor({
        timer,
        report: (task, error) =>
          silentLogger.error("task", { task, error: String(error) }),
      }),
      timeouts: () => ({
        connectMs: 250,
        silenceMs: SILENCE_MS,
        idlePingMs: 60_000,
      }),
    }),
    timer: createTruncatingTimer(timer),
    silenceMs: () => SILENCE_MS,
    onSilence: ({ finding }) => findings.push(finding),
  });
  const ends: ExchangeEnd[] = [];
  for (let order = 1; order <= exchanges; order++) {
    void exchanger.run({
      address: GUARD,
      attempt: { ...ATTEMPT, attempt: { source: "ingress", order } },
      signal: neverCancelled,
      deadlineAt,
    }).then((end) => ends.push(end));
  }
  return { timer, network, findings, ends, end: () => ends[0] };
}

function answerOf(body: string, streaming = false): Frame {
  return {
    kind: "answer",
    attempt: ATTEMPT.attempt,
    status: 200,
    headers: [],
    body: new TextEncoder().encode(body),
    streaming,
    load: LOAD,
  };
}

test("the end of an attempt on a dead connection comes over a new one", async (t) => {
  const asked: string[] = [];
  const pair = await startPair((channel, frame) => {
    asked.push(frame.kind);
    if (frame.kind === "fence") {
      void channel.send({ kind: "fence_state", state: "running" });
    }
    if (frame.kind === "resume") {
      void channel.send(answerOf("done"));
    }
  });
  await pair.timer.advance(10);
  pair.network.silence("ingress", "guard");
  await pair.timer.advance(SILENCE_MS + 50);
  t.equal(pair.end()?.kind, "answer");
  t.same(asked, ["attempt", "fence", "resume"]);
  t.same(pair.findings, ["resumed"]);
});

test("a silent guard that did not receive the attempt fences it", async (t) => {
  const pair = await startPair((channel, frame) => {
    if (frame.kind === "fence") {
      void channel.send({ kind: "fence_state", state: "fenced" });
    }
  });
  await pair.timer.advance(SILENCE_MS + 50);
  t.same(pair.end(), { kind: "fenced" });
  t.same(pair.findings, ["fenced"]);
});

test("an attempt at a silent guard that cannot be reached is lost", async (t) => {
  const pair = await startPair(() => {});
  await pair.timer.advance(10);
  pair.network.link("ingress", "guard").cut = true;
  // Two connection attempts time out after 250 ms each.
  await pair.timer.advance(SILENCE_MS + 550);
  t.match(pair.end(), { kind: "lost", sent: true });
  t.same(pair.findings, ["lost"]);
});

test("an attempt is not lost because one connection attempt times out", async (t) => {
  const pair = await startPair((channel, frame) => {
    if (frame.kind === "fence") {
      void channel.send({ kind: "fence_state", state: "running" });
    }
    if (frame.kind === "resume") {
      void channel.send(answerOf("done"));
    }
  });
  await pair.timer.advance(10);
  const link = pair.network.link("ingress", "guard");
  link.cut = true;
  await pair.timer.advance(SILENCE_MS + 200);
  link.cut = false;
  await pair.timer.advance(100);
  t.equal(pair.end()?.kind, "answer");
  t.same(pair.findings, ["resumed"]);
});

test("an attempt at a silent guard that restarted is lost", async (t) => {
  const pair = await startPair((channel, frame) => {
    if (frame.kind === "fence") {
      void channel.send({ kind: "fence_state", state: "other_incarnation" });
    }
  });
  await pair.timer.advance(SILENCE_MS + 50);
  t.match(pair.end(), { kind: "lost", sent: true });
});

test("a stream is not cut while its guard stalls", async (t) => {
  let streaming: Channel | undefined;
  const pair = await startPair((channel, frame) => {
    if (frame.kind === "attempt") {
      streaming = channel;
      void channel.send(answerOf("first ", true));
    }
  });
  await pair.timer.advance(10);
  const end = pair.end();
  if (end?.kind !== "answer" || end.body instanceof Uint8Array) {
    t.fail("the answer is not a stream");
    return;
  }
  let text = "";
  const { body } = end;
  const read = (async () => {
    for await (const part of body) {
      text += new TextDecoder().decode(part);
    }
  })();
  const resume = pair.network.stall("guard");
  await pair.timer.advance(2 * SILENCE_MS);
  resume();
  await streaming!.send({
    kind: "data",
    bytes: new TextEncoder().encode("last"),
  });
  await streaming!.send({ kind: "end" });
  await pair.timer.advance(50);
  await read;
  t.equal(text, "first last");
});

test("a stream on a dead connection is cut", async (t) => {
  const pair = await startPair((channel, frame) => {
    if (frame.kind === "attempt") {
      void channel.send(answerOf("first ", true));
    }
  });
  await pair.timer.advance(10);
  const end = pair.end();
  if (end?.kind !== "answer" || end.body instanceof Uint8Array) {
    t.fail("the answer is not a stream");
    return;
  }
  const { body } = end;
  let cut = false;
  void (async () => {
    for await (const _ of body) {
      // The data is not needed.
    }
  })().catch(() => {
    cut = true;
  });
  pair.network.silence("ingress", "guard");
  await pair.timer.advance(4 * SILENCE_MS);
  t.ok(cut);
});

test("reaching the deadline is not reported as a silence of the guard", async (t) => {
  const asked: string[] = [];
  const pair = await startPair((_, frame) => void asked.push(frame.kind), {
    deadlineAt: 300.5,
  });
  await pair.timer.advance(310);
  t.match(pair.end(), { kind: "lost", cause: /no progress/ });
  t.same(pair.findings, []);
  t.same(asked, ["attempt"], "no state request is sent to the guard");
});

test("an exchange with an unreachable guard ends at the deadline", async (t) => {
  const deadlineAt = SILENCE_MS + 50;
  const pair = await startPair(() => {}, { deadlineAt });
  await pair.timer.advance(10);
  pair.network.link("ingress", "guard").cut = true;
  await pair.timer.advance(deadlineAt - 10);
  t.match(pair.end(), { kind: "lost", cause: /no progress/ });
});

test("exchanges that wait for other recoveries end at the deadline", async (t) => {
  const exchanges = 12;
  const deadlineAt = SILENCE_MS + 100;
  const pair = await startPair(() => {}, { deadlineAt, exchanges });
  await pair.timer.advance(10);
  pair.network.stall("guard");
  await pair.timer.advance(deadlineAt - 10);
  t.equal(pair.ends.length, exchanges);
});
