/**
 * Long bodies of requests with an idempotency key, which reach the ingress as a
 * stream.
 */
import { test } from "tap";
import { neverCancelled } from "../../src/core/cancellation.ts";
import type { Reply } from "../../src/ingress/call.ts";
import { startSmallWorld } from "./small_world.ts";
import type { World } from "./world.ts";

/** More than a caller server buffers, and than fits into one frame. */
const LONG_BODY_BYTES = 1_500_000;
const MAX_BODY_BYTES = 2_000_000;
const CHUNK_BYTES = 50_000;
const SETTLE_MS = 1_000;

async function* createStream(
  length: number,
  lastByte: number,
): AsyncGenerator<Uint8Array> {
  await Promise.resolve();
  for (let at = 0; at < length; at += CHUNK_BYTES) {
    const chunk = new Uint8Array(Math.min(CHUNK_BYTES, length - at));
    chunk[chunk.length - 1] = lastByte;
    yield chunk;
  }
}

async function post(
  world: World,
  body: AsyncIterable<Uint8Array>,
): Promise<Reply | undefined> {
  const result: { reply?: Reply } = {};
  void world.vm("vm1").node.ingress.handle({
    requestId: "id-1",
    method: "GET",
    host: "",
    path: "/look/1",
    timeoutMs: 2_000,
    headers: [["idempotency-key", "key-1"]],
    body,
    bodyLength: undefined,
    signal: neverCancelled,
  }).then((reply) => {
    result.reply = reply;
  });
  await world.timer.advance(SETTLE_MS);
  return result.reply;
}

async function startKeyedWorld(seed: number): Promise<World> {
  return await startSmallWorld({
    seed,
    servers: 2,
    look: { key: "required", max_body_bytes: MAX_BODY_BYTES },
  });
}

function executionsOf(world: World) {
  return world.vms.flatMap(({ server }) => server.executions);
}

test("a long body with an idempotency key reaches its server whole, once", async (t) => {
  const world = await startKeyedWorld(41);
  const first = await post(world, createStream(LONG_BODY_BYTES, 1));
  t.equal(first?.status, 200);
  const resent = await post(world, createStream(LONG_BODY_BYTES, 1));
  t.equal(resent?.outcome, "ran");
  t.same(executionsOf(world).map((one) => one.bodyLength), [LONG_BODY_BYTES]);
});

test("another long body under the same key is refused", async (t) => {
  const world = await startKeyedWorld(42);
  await post(world, createStream(LONG_BODY_BYTES, 1));
  const other = await post(world, createStream(LONG_BODY_BYTES, 2));
  t.equal(other?.status, 422);
  t.equal(executionsOf(world).length, 1);
});

test("a body over the limit is refused before its key is claimed", async (t) => {
  const world = await startKeyedWorld(43);
  const refused = await post(world, createStream(MAX_BODY_BYTES + 1, 1));
  t.equal(refused?.status, 413);
  const accepted = await post(world, createStream(LONG_BODY_BYTES, 1));
  t.equal(accepted?.status, 200, "the key is still free");
});
