/**
 * Malformed and odd messages at every port of a node and of a control replica:
 * no message ends the process, and callers are served afterwards.
 */
import { connect } from "node:net";
import fc from "fast-check";
import { test } from "tap";
import { z } from "zod";
import * as methods from "../../src/control/methods.ts";
import * as nodeMethods from "../../src/control/node_methods.ts";
import { splitAddress } from "../../src/network/channel.ts";
import { encodeFrame } from "../../src/network/frame_codec.ts";
import { type Frame, frameSchema } from "../../src/network/frames.ts";
import { createGrpcRpc } from "../../src/rpc/grpc_rpc.ts";
import type { Method } from "../../src/rpc/rpc.ts";
import { arbitraryOf } from "../arbitrary_of.ts";
import { eventually } from "../processes.ts";
import { HOST, sendRequest, startServingHarness } from "./harness.ts";

const SEED = Number(process.env.FUZZ_SEED ?? 7);
/** Messages that each port gets, by kind of message. */
const MESSAGES = Number(process.env.FUZZ_MESSAGES ?? 40);
const CALL_TIMEOUT_MS = 300;
/** Longest wait for a connection to end on its own. */
const ANSWER_WAIT_MS = 30;

const HTTP_METHODS = ["GET", "PUT", "POST", "DELETE", "PATCH", "", "G\0T"];
const PATHS = [
  "/",
  "/read/a",
  "/pay/a",
  "/config",
  "/instances/i-other",
  "/instances/",
  "/evacuations/west",
  "/readiness",
  "/metrics",
  "/status",
  "/events",
  "/announce",
  "/leave",
  "//%%",
];
const HEADERS = [
  "host: shop.example",
  "if-match: 00000002",
  "if-match: zz",
  "content-length: 5",
  "content-length: -1",
  "transfer-encoding: chunked",
  "transfer-encoding: gzip",
  "expect: 100-continue",
  "connection: upgrade",
  "upgrade: h2c",
  "x-mustardcross-request-deadline-ms: -5",
  "x-mustardcross-request-id: ",
  "no colon",
];
const BODIES = ["", "{}", "null", "[]", '{"version":', "5\r\nabc", "\xff\xfe"];

/** HTTP requests that are odd in some place, and some that are whole. */
const httpTexts = fc.record({
  method: fc.constantFrom(...HTTP_METHODS),
  path: fc.constantFrom(...PATHS),
  version: fc.constantFrom("HTTP/1.1", "HTTP/1.0", "HTTP/9.9", ""),
  headers: fc.subarray(HEADERS),
  body: fc.oneof(fc.constantFrom(...BODIES), fc.json()),
  cut: fc.option(fc.nat({ max: 200 })),
}).map(({ method, path, version, headers, body, cut }) => {
  const head = [`${method} ${path} ${version}`, ...headers].join("\r\n");
  const text = `${head}\r\n\r\n${body}`;
  return Buffer.from(cut === null ? text : text.slice(0, cut), "latin1");
});

/** Frames of the right shape with odd contents, some cut or changed. */
const frameBytes = fc.record({
  frame: arbitraryOf(frameSchema),
  cut: fc.option(fc.nat({ max: 80 }), { freq: 4 }),
  flipped: fc.option(fc.nat({ max: 400 }), { freq: 4 }),
}).map(({ frame, cut, flipped }) => {
  const bytes = encodeFrame(frame as Frame);
  if (flipped !== null) {
    bytes[flipped % bytes.length] ^= 0x55;
  }
  return cut === null ? bytes : bytes.subarray(0, cut);
});

/** Sends bytes over a new connection, which is closed after a short wait. */
function sendBytes(address: string, bytes: Uint8Array): Promise<void> {
  const { host, port } = splitAddress(address);
  return new Promise((resolve) => {
    const socket = connect(port, host, () => socket.write(bytes));
    const timeout = setTimeout(() => socket.destroy(), ANSWER_WAIT_MS);
    socket.on("data", () => {});
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timeout);
      resolve();
    });
  });
}

function isMethod(value: unknown): value is Method<unknown, unknown> {
  return typeof value === "object" && value !== null && "request" in value &&
    "reply" in value;
}

/** Methods with any reply, since only the callee is under test. */
const allMethods = [methods, nodeMethods]
  .flatMap((module): unknown[] => Object.values(module))
  .filter(isMethod)
  .map((method) => ({ ...method, reply: z.unknown() }));

function sample<T>(arbitrary: fc.Arbitrary<T>): T[] {
  return fc.sample(arbitrary, { seed: SEED, numRuns: MESSAGES });
}

test("odd messages at every port", async (t) => {
  const unhandled: string[] = [];
  const note = (error: unknown) => {
    unhandled.push(error instanceof Error ? error.stack ?? "" : String(error));
  };
  process.prependListener("unhandledRejection", note);
  process.prependListener("uncaughtException", note);
  t.teardown(() => {
    process.off("unhandledRejection", note);
    process.off("uncaughtException", note);
  });
  const harness = await startServingHarness();
  t.teardown(harness.stop);
  const hostOf = (url: string) => new URL(url).host;

  await t.test("requests at the HTTP ports", async (t) => {
    const addresses = [
      hostOf(harness.callers),
      hostOf(harness.ready),
      hostOf(harness.nodeApi),
      hostOf(harness.operator),
      harness.metricsAddress,
    ];
    for (const text of sample(httpTexts)) {
      await Promise.all(addresses.map((address) => sendBytes(address, text)));
    }
    t.same(unhandled, []);
  });

  await t.test("frames at the node's port for peers", async (t) => {
    const address = `${HOST}:${
      splitAddress(harness.process.node!.peerAddress).port
    }`;
    for (const bytes of sample(frameBytes)) {
      await sendBytes(address, bytes);
    }
    t.same(unhandled, []);
  });

  await t.test("calls of a replica", async (t) => {
    const rpc = createGrpcRpc();
    t.teardown(() => rpc.close());
    const [peer] = harness.process.control!.replica.addresses();
    for (const method of allMethods) {
      const requests = [
        ...sample(arbitraryOf(method.request)),
        ...sample(fc.anything({ maxDepth: 2 })),
      ];
      await Promise.all(
        requests.map((request) =>
          rpc.call({ peer, method, request, timeoutMs: CALL_TIMEOUT_MS })
        ),
      );
    }
    t.same(unhandled, []);
  });

  await t.test("callers are served afterwards", async (t) => {
    await eventually("a request is answered", async () => {
      await harness.sendHeartbeat();
      return (await sendRequest(harness, "/read/after")).status === 200;
    });
    t.same(unhandled, []);
  });
});
