/**
 * A server that ends a long request before its body is in, and a client that
 * sends the rest all the same. No other request may get a part of that body
 * (review/6), and the client's next request on the connection is answered.
 */
import { Agent, type IncomingMessage, request } from "node:http";
import { test } from "tap";
import type { Test } from "tap";
import {
  createManifest,
  type EarlyBehaviour,
  type Harness,
  putManifest,
  startServingHarness,
} from "./harness.ts";

/** More than the node buffers, so that the body is streamed. */
const BODY_BYTES = 192 * 1024;
const PARTS = 12;
const PART_INTERVAL_MS = 8;
const ROUNDS = 2;
/** Timeout of the routes, far beyond what a request takes. */
const TIMEOUT_MS = 30_000;

/** How a server ends a request of which it has only the head. */
const EARLY_ENDS: Record<string, EarlyBehaviour> = {
  "a rejection"(incoming, response) {
    response.writeHead(503, {
      "x-mustardcross-not-executed": "1",
      "content-length": 0,
    });
    response.end();
    incoming.resume();
    return true;
  },
  "an answer"(incoming, response) {
    const id = String(incoming.headers["x-mustardcross-request-id"]);
    response.writeHead(200, {
      "x-mustardcross-request-id": id,
      "x-mustardcross-response-signature": `signed-${id}`,
      "content-length": 2,
    });
    response.end("ok");
    incoming.resume();
    return true;
  },
  "a reset"(incoming) {
    incoming.socket.resetAndDestroy();
    return true;
  },
};

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** The body of a request: its id, again and again. */
function bodyOf(id: string): Buffer {
  return Buffer.alloc(BODY_BYTES, id);
}

/** Sends a long request in parts; resolves with the status once all is sent. */
async function upload(
  harness: Harness,
  { id, agent, chunked }: { id: string; agent: Agent; chunked: boolean },
): Promise<number | undefined> {
  const sent = request(`${harness.callers}/pay/${id}`, {
    method: "POST",
    agent,
    headers: {
      host: "shop.example",
      "x-mustardcross-request-id": id,
      "x-mustardcross-request-deadline-ms": TIMEOUT_MS,
      ...(chunked ? {} : { "content-length": BODY_BYTES }),
    },
  });
  const answered = new Promise<number | undefined>((resolve) => {
    sent.on("error", () => resolve(undefined));
    sent.on("response", (answer: IncomingMessage) => {
      answer.on("error", () => resolve(undefined));
      answer.on("end", () => resolve(answer.statusCode));
      answer.resume();
    });
  });
  const body = bodyOf(id);
  const size = BODY_BYTES / PARTS;
  for (let at = 0; at < BODY_BYTES && !sent.destroyed; at += size) {
    sent.write(body.subarray(at, at + size));
    await wait(PART_INTERVAL_MS);
  }
  sent.end();
  return await answered;
}

async function checkUploads(
  t: Test,
  { harness, agent, chunked }: {
    harness: Harness;
    agent: Agent;
    chunked: boolean;
  },
): Promise<void> {
  for (let round = 0; round < ROUNDS; round++) {
    const label = `${chunked ? "in chunks" : "with a length"}, ${round}`;
    const ids = ["early", "whole", "next"].map((name) =>
      `${name}-${chunked ? "chunks" : "length"}-${round}`
    );
    const early = upload(harness, { id: ids[0], agent, chunked });
    await wait(PARTS * PART_INTERVAL_MS / 2);
    // Its channel is the one of the request that has ended, if it is reused.
    const other = new Agent();
    const status = await upload(harness, { id: ids[1], agent: other, chunked });
    t.equal(status, 200, `a request beside it is answered: ${label}`);
    const run = harness.received.find(({ url }) => url.includes(ids[1]));
    t.ok(run?.body === bodyOf(ids[1]).toString(), `its own body: ${label}`);
    t.ok(await early, `the early end is answered: ${label}`);
    const next = await upload(harness, { id: ids[2], agent, chunked });
    t.equal(next, 200, `the next request is answered: ${label}`);
  }
}

for (const [name, endEarly] of Object.entries(EARLY_ENDS)) {
  test(`${name} before the body is in`, async (t) => {
    const harness = await startServingHarness();
    t.teardown(harness.stop);
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const manifest = createManifest("00000003", {
      timeout: `${TIMEOUT_MS}ms`,
    });
    t.equal((await putManifest(harness, manifest, "00000002")).status, 200);
    harness.setEarlyBehaviour((incoming, response) =>
      incoming.url!.includes("early") && endEarly(incoming, response)
    );
    for (const chunked of [false, true]) {
      await checkUploads(t, { harness, agent, chunked });
    }
    agent.destroy();
    const ended = harness.received.filter(({ url }) => url.includes("early"));
    t.equal(ended.length, 0, "the requests that ended early never run");
  });
}
