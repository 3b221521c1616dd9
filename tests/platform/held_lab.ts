/**
 * What clients of a node that is held up write, and what became of it.
 * @module
 */
import { decodeFrame, encodeFrame } from "../../src/network/frame_codec.ts";
import type { Attempt, Frame } from "../../src/network/frames.ts";
import { HEALTH_PATH } from "../../src/http/caller_server.ts";
import type { Group, Leaving } from "../held_callers.ts";
import { eventually } from "../processes.ts";
import {
  ask,
  type Lab,
  manifest,
  put,
  SERVICE,
  startServingLab,
} from "./lab.ts";

/** Requests that the lab's server runs at once. */
export const SLOTS = 8;
const LENGTH_BYTES = 4;
/** Time for what was sent on to reach the server; it only finds more. */
const ARRIVAL_MS = 100;

const greeting = Buffer.from(`GET ${HEALTH_PATH} HTTP/1.1\r\nHost: x\r\n\r\n`);

/** A request that may run twice. */
export function read(name: string, deadlineMs: number, more = ""): string {
  return `GET /read/${name} HTTP/1.1\r\nHost: shop.example\r\n` +
    `X-Mustardcross-Request-Id: id-${name}\r\n` +
    `X-Mustardcross-Request-Deadline-Ms: ${deadlineMs}\r\n` +
    `${more}\r\n`;
}

/** A request with a body that must not run twice. */
export function upload(name: string): string {
  return `POST /pay/${name} HTTP/1.1\r\nHost: shop.example\r\n` +
    `X-Mustardcross-Request-Id: id-${name}\r\nContent-Length: 4\r\n` +
    `X-Mustardcross-Request-Deadline-Ms: 700\r\n\r\nbody`;
}

/** Clients that each write one text. */
export function callers(
  lab: Lab,
  group: {
    count: number;
    leaving: Leaving;
    fresh?: boolean;
    early?: boolean;
    text: (index: number) => string;
  },
): Group {
  return {
    port: Number(new URL(lab.callers).port),
    leaving: group.leaving,
    early: group.early,
    greeting: group.fresh ? undefined : greeting,
    payloads: Array.from(
      { length: group.count },
      (_, index) => Buffer.from(group.text(index)),
    ),
  };
}

/** A lab whose requests have more time than a busy machine takes. */
export async function startPatientLab(): Promise<Lab> {
  const lab = await startServingLab();
  await eventually(
    "more time is given",
    async () => {
      const text = manifest("00000003", { timeout: "8s" });
      return (await put(lab, text, "00000002")).status === 200;
    },
  );
  return lab;
}

/** Waits until all that lay in the sockets was dealt with. */
async function settled(lab: Lab): Promise<void> {
  const node = lab.process.node!;
  // Connections are taken in the order in which they came.
  await ask(lab, "/read/last");
  await eventually(
    "nothing is in flight",
    () => node.ingress.inFlight === 0 && node.guard.load().inFlight === 0,
  );
  await new Promise((resolve) => setTimeout(resolve, ARRIVAL_MS));
}

/** Requests of callers that had left which reached the server. */
export async function reached(lab: Lab, name: string): Promise<string[]> {
  await settled(lab);
  return lab.seen.map(({ url }) => url).filter((url) => url.includes(name));
}

function attempt(lab: Lab, name: string, change: Partial<Attempt>): Attempt {
  const { guard, directory } = lab.process.node!;
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

/** Other nodes' channels that each bring one attempt. */
export function senders(
  lab: Lab,
  group: {
    count: number;
    leaving: Leaving;
    name: string;
    change?: Partial<Attempt>;
  },
): Group {
  return {
    port: Number(lab.process.node!.peerAddress.split(":")[1]),
    leaving: group.leaving,
    greeting: encodeFrame({ kind: "ping" }),
    until: ["answer", "refused", "failed"],
    payloads: Array.from(
      { length: group.count },
      (_, index) =>
        encodeFrame(attempt(lab, `${group.name}${index}`, group.change ?? {})),
    ),
  };
}

/** The frame that ended an attempt. */
export function endOf(received: string): Frame | undefined {
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
