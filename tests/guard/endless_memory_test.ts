/**
 * Guards against a node that runs out of memory because a backend server sends a
 * body without end that its caller reads: unused buffers gathered outside the
 * heap until the runtime collected them, and the memory was not given back.
 */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { test } from "tap";
import { neverCancelled } from "../../src/core/cancellation.ts";
import { createLocalChannelPair } from "../../src/network/local.ts";
import { startRawServer } from "./raw_server.ts";

// The processes are started with this flag. It has to be set before the modules
// under test are loaded.
setFlagsFromString("--expose-gc");
globalThis.gc = runInNewContext("gc");
const { createHttpBackend } = await import("../../src/guard/http_backend.ts");
const { createTcpNetwork } = await import("../../src/network/tcp.ts");
const { noLag } = await import("../../src/time/event_loop_lag.ts");

const BODY_BYTES = 192 * 1024 * 1024;
/** Half of what a node has between its memory at rest and 130 MB. */
const MAX_BUFFER_BYTES = 30 * 1024 * 1024;
const SAMPLE_INTERVAL_BYTES = 1024 * 1024;
const PART = new Uint8Array(64 * 1024);

/** Records the most bytes that buffers take, of unused ones too. */
function createSampler() {
  let bytesUntilSample = 0;
  let peak = 0;
  return {
    get peak() {
      return peak;
    },
    note(bytes: number) {
      bytesUntilSample -= bytes;
      if (bytesUntilSample <= 0) {
        bytesUntilSample = SAMPLE_INTERVAL_BYTES;
        peak = Math.max(peak, process.memoryUsage().arrayBuffers);
      }
    },
  };
}

for (
  const framing of ["content-length: 99999999999", "transfer-encoding: chunked"]
) {
  test(`a body without end from a backend server: ${framing}`, async (t) => {
    const server = await startRawServer((connection) => {
      connection.write(`HTTP/1.1 200 OK\r\n${framing}\r\n\r\n`);
      connection.flood("4000\r\n" + "x".repeat(0x4000) + "\r\n");
    });
    const backend = createHttpBackend({
      address: server.address,
      connections: 1,
      connectTimeoutMs: 500,
    });
    t.teardown(() => {
      server.close();
      return backend.close();
    });
    const { body } = await backend.send({
      method: "GET",
      path: "/",
      headers: [],
      body: undefined,
      requestId: "one",
      caller: "",
      instance: "",
      timeLeftMs: 60_000,
      signal: neverCancelled,
    });
    const sampler = createSampler();
    let received = 0;
    for await (const part of body as AsyncIterable<Uint8Array>) {
      received += part.length;
      sampler.note(part.length);
      if (received >= BODY_BYTES) {
        break;
      }
    }
    t.ok(received >= BODY_BYTES);
    t.ok(sampler.peak < MAX_BUFFER_BYTES, `${sampler.peak} bytes`);
  });
}

test("a body without end from another node", async (t) => {
  const network = createTcpNetwork(noLag);
  const listener = await network.listen("127.0.0.1:0", (channel) => {
    async function flood(): Promise<void> {
      while (!channel.closed) {
        await channel.send({ kind: "data", bytes: PART });
      }
    }
    flood().catch(() => {});
  });
  const channel = await network.connect(listener.address, 500);
  const sampler = createSampler();
  let received = 0;
  while (received < BODY_BYTES) {
    const frame = await channel.receive();
    if (frame?.kind !== "data") {
      break;
    }
    received += frame.bytes.length;
    sampler.note(frame.bytes.length);
  }
  channel.close();
  await listener.close();
  t.ok(received >= BODY_BYTES);
  t.ok(sampler.peak < MAX_BUFFER_BYTES, `${sampler.peak} bytes`);
});

test("a caller that does not read holds few parts of a body", async (t) => {
  const [reader, sender] = createLocalChannelPair("guard:1");
  let sent = 0;
  async function flood(): Promise<void> {
    while (!sender.closed) {
      sent += PART.length;
      await sender.send({ kind: "data", bytes: PART });
    }
  }
  flood().catch(() => {});
  for (let turn = 0; turn < 100; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  t.equal(sent, 256 * 1024);
  reader.close();
});
