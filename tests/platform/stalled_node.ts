/**
 * Clients of a stalled node: the requests that they write, and which of these
 * reached the backend server.
 * @module
 */
import { decodeFrame, encodeFrame } from "../../src/network/frame_codec.ts";
import type { Attempt, Frame } from "../../src/network/frames.ts";
import { HEALTH_PATH } from "../../src/http/caller_server.ts";
import type { ClientGroup, CloseMode } from "../stall_clients.ts";
import { eventually } from "../processes.ts";
import {
  createManifest,
  type Harness,
  putManifest,
  sendRequest,
  SERVICE,
  startServingHarness,
} from "./harness.ts";

/** Requests that the backend server of the harness runs at once. */
export const SLOTS = 8;
const LENGTH_BYTES = 4;
/**
 * Time for forwarded requests to reach the server. Too short a time only makes
 * {@link listReached} miss requests.
 */
const ARRIVAL_WAIT_MS = 100;

const healthCheck = Buffer.from(
  `GET ${HEALTH_PATH} HTTP/1.1\r\nHost: x\r\n\r\n`,
);

/** Formats an idempotent request. */
export function formatRead(
  name: string,
  deadlineMs: number,
  extraHeaders = "",
): string {
  return `GET /read/${name} HTTP/1.1\r\nHost: shop.example\r\n` +
    `X-Mustardcross-Request-Id: id-${name}\r\n` +
    `X-Mustardcross-Request-Deadline-Ms: ${deadlineMs}\r\n` +
    `${extraHeaders}\r\n`;
}

/** Formats a non-idempotent request with a body. */
export function formatUpload(name: string): string {
  return `POST /pay/${name} HTTP/1.1\r\nHost: shop.example\r\n` +
    `X-Mustardcross-Request-Id: id-${name}\r\nContent-Length: 4\r\n` +
    `X-Mustardcross-Request-Deadline-Ms: 700\r\n\r\nbody`;
}

/** Creates clients that each write one text. */
export function createCallers(
  harness: Harness,
  group: {
    count: number;
    closeMode: CloseMode;
    newConnections?: boolean;
    writeBeforeStall?: boolean;
    text: (index: number) => string;
  },
): ClientGroup {
  return {
    port: Number(new URL(harness.callers).port),
    closeMode: group.closeMode,
    writeBeforeStall: group.writeBeforeStall,
    greeting: group.newConnections ? undefined : healthCheck,
    payloads: Array.from(
      { length: group.count },
      (_, index) => Buffer.from(group.text(index)),
    ),
  };
}

/** Starts a harness whose request timeouts suffice on a busy machine too. */
export async function startLongTimeoutHarness(): Promise<Harness> {
  const harness = await startServingHarness();
  await eventually(
    "the manifest with the longer timeout is accepted",
    async () => {
      const text = createManifest("00000003", { timeout: "8s" });
      return (await putManifest(harness, text, "00000002")).status === 200;
    },
  );
  return harness;
}

/** Waits until the node has read its sockets and nothing is in flight. */
async function waitUntilIdle(harness: Harness): Promise<void> {
  const node = harness.process.node!;
  // The node accepts connections in their order, so this one is the last.
  await sendRequest(harness, "/read/last");
  await eventually(
    "nothing is in flight",
    () => node.ingress.inFlight === 0 && node.guard.load().inFlight === 0,
  );
  await new Promise((resolve) => setTimeout(resolve, ARRIVAL_WAIT_MS));
}

/** Lists the URLs with `name` of requests that reached the server. */
export async function listReached(
  harness: Harness,
  name: string,
): Promise<string[]> {
  await waitUntilIdle(harness);
  return harness.received.map(({ url }) => url).filter((url) =>
    url.includes(name)
  );
}

function createAttempt(
  harness: Harness,
  name: string,
  change: Partial<Attempt>,
): Attempt {
  const { guard, directory } = harness.process.node!;
  return {
    kind: "attempt",
    attempt: { source: name, order: 1 },
    incarnation: guard.incarnation,
    version: directory.version,
    from: "",
    requestId: `id-${name}`,
    service: SERVICE,
    caller: "",
    class: "r-read",
    tenant: "default",
    rank: 1,
    repeatable: true,
    timeLeftMs: 700,
    method: "GET",
    path: `/read/${name}`,
    headers: [],
    suspect: false,
    elsewhere: false,
    body: new Uint8Array(),
    streaming: false,
    ...change,
  };
}

/** Creates channels of other nodes that each send one attempt. */
export function createSenders(
  harness: Harness,
  group: {
    count: number;
    closeMode: CloseMode;
    name: string;
    change?: Partial<Attempt>;
  },
): ClientGroup {
  return {
    port: Number(harness.process.node!.peerAddress.split(":")[1]),
    closeMode: group.closeMode,
    greeting: encodeFrame({ kind: "ping" }),
    until: ["answer", "refused", "failed"],
    payloads: Array.from(
      { length: group.count },
      (_, index) =>
        encodeFrame(
          createAttempt(harness, `${group.name}${index}`, group.change ?? {}),
        ),
    ),
  };
}

/** Returns the frame that ended an attempt, if there is one. */
export function findFinalFrame(received: string): Frame | undefined {
  let rest = Buffer.from(received, "latin1");
  while (rest.length >= LENGTH_BYTES) {
    const end = LENGTH_BYTES + rest.readUInt32BE(0);
    const frame = decodeFrame(rest.subarray(LENGTH_BYTES, end));
    if (frame.kind !== "pong") {
      return frame;
    }
    rest = rest.subarray(end);
  }
  return undefined;
}
