import { connect } from "node:net";
import { test } from "tap";
import type { Channel } from "./channel.ts";
import type { Frame } from "./frames.ts";
import { encodeFrame } from "./frame_codec.ts";
import { tcpNetwork } from "./tcp.ts";

const HOST = "127.0.0.1";
const CONNECT_TIMEOUT_MS = 1_000;
const LARGE_FRAME: Frame = { kind: "data", bytes: Buffer.alloc(512 * 1024) };
const SMALL: Frame = { kind: "ping" };
/** More frames than both endpoints and the kernel can buffer. */
const FRAME_COUNT = 64;

/** Creates both endpoints of a channel. */
async function connectPair(): Promise<{ client: Channel; server: Channel }> {
  let accepted = (_channel: Channel): void => {};
  const accepting = new Promise<Channel>((resolve) => {
    accepted = resolve;
  });
  const listener = await tcpNetwork.listen(
    `${HOST}:0`,
    (channel) => accepted(channel),
  );
  const client = await tcpNetwork.connect(listener.address, CONNECT_TIMEOUT_MS);
  const server = await accepting;
  await listener.close();
  return { client, server };
}

/** Sends more frames than can be buffered before the other endpoint reads. */
function sendAll(channel: Channel): Promise<void>[] {
  return Array.from({ length: FRAME_COUNT }, () => channel.send(LARGE_FRAME));
}

test("all waiting senders continue once the other endpoint reads", async (t) => {
  const { client, server } = await connectPair();
  t.teardown(client.close);
  const sends = sendAll(client);
  for (let count = 0; count < FRAME_COUNT; count++) {
    t.equal((await server.receive())?.kind, "data");
  }
  await Promise.all(sends);
  t.pass("every waiting sender continued");
});

test("all waiting senders are woken when the channel closes", async (t) => {
  const { client, server } = await connectPair();
  const sends = sendAll(client);
  t.equal((await server.receive())?.kind, "data");
  client.close();
  const results = await Promise.allSettled(sends);
  t.equal(results.length, FRAME_COUNT);
  t.equal(results.at(-1)?.status, "rejected");
  server.close();
});

test("a frame that comes in small parts is not copied for each of them", async (t) => {
  const joined = t.capture(Buffer, "concat", Buffer.concat);
  let accepted = (_channel: Channel): void => {};
  const accepting = new Promise<Channel>((resolve) => {
    accepted = resolve;
  });
  const listener = await tcpNetwork.listen(`${HOST}:0`, (one) => accepted(one));
  const socket = connect(Number(listener.address.split(":")[1]), HOST);
  socket.setNoDelay(true);
  const channel = await accepting;
  t.teardown(() => {
    channel.close();
    socket.destroy();
  });
  const frames = Buffer.concat([encodeFrame(LARGE_FRAME), encodeFrame(SMALL)]);
  joined();
  for (let at = 0; at < frames.length; at += 1_024) {
    socket.write(frames.subarray(at, at + 1_024));
    await new Promise((resolve) => setImmediate(resolve));
  }
  const received = await channel.receive();
  t.equal(received?.kind === "data" && received.bytes.length, 512 * 1024);
  t.same(await channel.receive(), SMALL);
  const copied = joined().flatMap(({ args: [parts] }) => parts)
    .reduce((sum, part) => sum + part.length, 0);
  t.ok(copied < 4 * frames.length, `${copied} bytes were copied`);
  await listener.close();
});
