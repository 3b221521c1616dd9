/**
 * Guards against bytes of one request in the body of another: a sender that
 * begins an exchange before the body of the last one has ended.
 */
import { test } from "tap";
import type { Channel } from "./channel.ts";
import { holdExchangeOrder } from "./exchange_order.ts";
import { createFakeAttempt } from "./fake_attempt.ts";
import type { Frame } from "./frames.ts";
import { createLocalChannelPair } from "./local.ts";

const PART: Frame = { kind: "data", bytes: new Uint8Array(3) };
const END: Frame = { kind: "end" };
const ATTEMPT = createFakeAttempt({ streaming: true });

function createPair(): { sender: Channel; receiver: Channel } {
  const [sender, receiver] = createLocalChannelPair("guard:1");
  return { sender, receiver: holdExchangeOrder(receiver) };
}

/** Receives all frames up to the close; returns their kinds. */
async function receiveKinds(
  channel: Channel,
  count: number,
): Promise<(string | undefined)[]> {
  const kinds: (string | undefined)[] = [];
  for (let index = 0; index < count; index++) {
    kinds.push((await channel.receive())?.kind);
  }
  return kinds;
}

test("one exchange after the other is received as it was sent", async (t) => {
  const { sender, receiver } = createPair();
  await receiver.send({ kind: "admitted" });
  await sender.send(PART);
  await sender.send(END);
  await sender.send(ATTEMPT);
  t.same(await receiveKinds(receiver, 3), ["data", "end", "attempt"]);
  await receiver.send({ kind: "admitted" });
  await sender.send(END);
  await sender.send({ kind: "ping" });
  t.same(await receiveKinds(receiver, 2), ["end", "ping"]);
  t.notOk(receiver.closed);
});

test("no attempt is received while a body before it goes on", async (t) => {
  const { sender, receiver } = createPair();
  await receiver.send({ kind: "admitted" });
  await sender.send(PART);
  await sender.send(ATTEMPT);
  await sender.send(END);
  t.same(await receiveKinds(receiver, 2), ["data", undefined]);
  t.ok(receiver.closed);
});

test("a part of a body that no attempt has announced closes the channel", async (t) => {
  for (const frame of [PART, END]) {
    const { sender, receiver } = createPair();
    await sender.send(frame);
    t.same(await receiveKinds(receiver, 1), [undefined], frame.kind);
    t.ok(receiver.closed);
  }
});

test("a body that ended twice closes the channel", async (t) => {
  const { sender, receiver } = createPair();
  await receiver.send({ kind: "admitted" });
  await sender.send(END);
  await sender.send(END);
  t.same(await receiveKinds(receiver, 2), ["end", undefined]);
});
