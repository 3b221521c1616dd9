import { test } from "tap";
import type { Channel } from "./channel.ts";
import type { Frame } from "./frames.ts";
import { tcpNetwork } from "./tcp.ts";

const HOST = "127.0.0.1";
const CONNECT_MS = 1_000;
const PART: Frame = { kind: "data", bytes: Buffer.alloc(512 * 1024) };
/** More than both ends and the kernel between them take up. */
const PARTS = 64;

/** Both ends of a channel. */
async function startPair(): Promise<{ near: Channel; far: Channel }> {
  let accepted = (_channel: Channel): void => {};
  const accepting = new Promise<Channel>((resolve) => {
    accepted = resolve;
  });
  const listener = await tcpNetwork.listen(`${HOST}:0`, (one) => accepted(one));
  const near = await tcpNetwork.connect(listener.address, CONNECT_MS);
  const far = await accepting;
  await listener.close();
  return { near, far };
}

/** Sends more than is taken before the other end reads. */
function sendAll(channel: Channel): Promise<void>[] {
  return Array.from({ length: PARTS }, () => channel.send(PART));
}

test("all who wait to send go on once the other end reads", async (t) => {
  const { near, far } = await startPair();
  t.teardown(near.close);
  const sent = sendAll(near);
  for (let count = 0; count < PARTS; count++) {
    t.equal((await far.receive())?.kind, "data");
  }
  await Promise.all(sent);
  t.pass("none is forgotten");
});

test("all who wait to send are told that the channel closed", async (t) => {
  const { near, far } = await startPair();
  const sent = sendAll(near);
  t.equal((await far.receive())?.kind, "data");
  near.close();
  const ends = await Promise.allSettled(sent);
  t.equal(ends.length, PARTS);
  t.equal(ends.at(-1)?.status, "rejected");
  far.close();
});
