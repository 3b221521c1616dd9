/**
 * A route's timeout ends requests whose answer has begun (review/9): the server
 * falls silent, or sends too slowly. Nobody takes what came for a whole answer, and
 * an answer that ends in time is delivered whole.
 */
import type { ServerResponse } from "node:http";
import { connect } from "node:net";
import { test } from "tap";
import { eventually } from "../processes.ts";
import {
  type Behaviour,
  createManifest,
  type Harness,
  putManifest,
  startServingHarness,
} from "./harness.ts";

const ROUTE_TIMEOUT_MS = 500;
/** Time budget of the requests, which must not be what ends them. */
const DEADLINE_MS = 60_000;
/** More than one frame carries, so that the answer is streamed. */
const LONG_BYTES = 300_000;
const SHORT_BYTES = 2_000;
const PART_BYTES = 20_000;
const PART_INTERVAL_MS = 40;
const HEARTBEAT_MS = 1_000;
const VERSIONS = ["1.1", "1.0"];
/** Methods and HTTP versions of requests. */
const REQUESTS = [["GET", "1.1"], ["GET", "1.0"], ["POST", "1.1"]] as const;

/** Writes the head of an answer, with a length or in chunks. */
function writeHead(
  ...[received, response, length]: [...Parameters<Behaviour>, number?]
): void {
  const id = String(received.headers["x-mustardcross-request-id"]);
  response.writeHead(200, {
    "x-mustardcross-request-id": id,
    "x-mustardcross-response-signature": `signed-${id}`,
    ...(length === undefined ? {} : { "content-length": length }),
  });
}

/** Answers in part, and falls silent. */
function fallSilent(length: number, sent: number, framed: boolean): Behaviour {
  return (received, response) => {
    writeHead(received, response, framed ? length : undefined);
    response.write(Buffer.alloc(sent, "a"));
  };
}

/** Writes part after part, slowly and without an end. */
function drip(response: ServerResponse): void {
  const timer = setInterval(
    () => response.write(Buffer.alloc(PART_BYTES, "a")),
    PART_INTERVAL_MS,
  );
  response.on("close", () => clearInterval(timer));
}

const ENDLESS: Record<string, Behaviour> = {
  "a long answer falls silent": fallSilent(LONG_BYTES, LONG_BYTES / 2, true),
  "a long answer in chunks falls silent": fallSilent(
    LONG_BYTES,
    LONG_BYTES,
    false,
  ),
  "a short answer falls silent": fallSilent(SHORT_BYTES, 100, true),
  "a short answer in chunks falls silent": fallSilent(
    SHORT_BYTES,
    SHORT_BYTES,
    false,
  ),
  "an answer comes slowly": (received, response) => {
    writeHead(received, response);
    drip(response);
  },
  "no answer comes": () => {},
};

/** What a caller got on a connection of its own. */
interface Received {
  text: string;
  end: "open" | "closed" | "reset";
}

/** Sends a request, and notes all that comes back. */
function send(
  harness: Harness,
  { method, version }: { method: string; version: string },
): Received {
  const { hostname, port } = new URL(harness.callers);
  const received: Received = { text: "", end: "open" };
  const path = method === "GET" ? "/read/1" : "/pay/1";
  const socket = connect(
    Number(port),
    hostname,
    () =>
      socket.write(
        `${method} ${path} HTTP/${version}\r\nhost: shop.example\r\n` +
          "x-mustardcross-request-id: id-1\r\n" +
          `x-mustardcross-request-deadline-ms: ${DEADLINE_MS}\r\n` +
          "connection: close\r\ncontent-length: 0\r\n\r\n",
      ),
  );
  socket.on("data", (bytes) => {
    received.text += bytes.toString("latin1");
  });
  socket.on("error", () => {
    received.end = "reset";
  });
  socket.on("close", () => {
    received.end = received.end === "reset" ? "reset" : "closed";
  });
  return received;
}

/** Whether a caller takes what it got for a whole success. */
function isWholeSuccess({ text, end }: Received): boolean {
  const headEnd = text.indexOf("\r\n\r\n") + 4;
  const head = text.slice(0, headEnd).toLowerCase();
  const body = text.slice(headEnd);
  if (!/^http\/1\.[01] 200/.test(head)) {
    return false;
  }
  const [, length] = /content-length: (\d+)/.exec(head) ?? [];
  if (length !== undefined) {
    return body.length >= Number(length);
  }
  return head.includes("transfer-encoding: chunked")
    ? body.endsWith("0\r\n\r\n")
    : end === "closed";
}

async function start(): Promise<Harness> {
  const harness = await startServingHarness();
  const timeout = `${ROUTE_TIMEOUT_MS}ms`;
  await putManifest(
    harness,
    createManifest("00000003", { timeout }),
    "00000002",
  );
  await eventually("the timeout is in force", () => {
    const { directory } = harness.process.node!;
    return directory.global?.version === 2;
  });
  return harness;
}

test("the timeout of a route", async (t) => {
  const harness = await start();
  t.teardown(harness.stop);
  const { guard } = harness.process.node!;
  const heartbeats = setInterval(
    () => void harness.sendHeartbeat(),
    HEARTBEAT_MS,
  );
  t.teardown(() => clearInterval(heartbeats));

  await t.test("an answer that ends in time is delivered whole", async (t) => {
    harness.setBehaviour((received, response) => {
      writeHead(received, response, LONG_BYTES);
      response.write(Buffer.alloc(LONG_BYTES / 2, "a"));
      setTimeout(
        () => response.end(Buffer.alloc(LONG_BYTES / 2, "a")),
        ROUTE_TIMEOUT_MS / 5,
      );
    });
    for (const version of VERSIONS) {
      const received = send(harness, { method: "GET", version });
      await eventually("the request ends", () => received.end !== "open");
      t.ok(isWholeSuccess(received), `HTTP/${version}`);
    }
  });

  for (const [name, behaviour] of Object.entries(ENDLESS)) {
    for (const [method, version] of REQUESTS) {
      await t.test(`${name}: ${method}, HTTP/${version}`, async (t) => {
        harness.setBehaviour(behaviour);
        const received = send(harness, { method, version });
        await eventually("the request ends", () => received.end !== "open");
        t.notOk(isWholeSuccess(received));
        await eventually(
          "a slot that may run again is free",
          () => method === "POST" || guard.load().inFlight === 0,
        );
      });
    }
  }
});
