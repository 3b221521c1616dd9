/**
 * Compares transports between nodes: small exchanges over the loopback
 * interface by HTTP/1.1, framed TCP and gRPC, with both ends in one process.
 *
 * `node dist/bench/transports.js [rate] [seconds] [rounds]`
 * @module
 */
import { createServer } from "node:http";
import { Pool } from "undici";
import { z } from "zod";
import type { Channel } from "../src/network/channel.ts";
import type { Attempt, Frame } from "../src/network/frames.ts";
import { tcpNetwork } from "../src/network/tcp.ts";
import { createGrpcRpc } from "../src/rpc/grpc_rpc.ts";
import { defineMethod } from "../src/rpc/rpc.ts";
import { findFreePorts } from "../src/demo/ports.ts";

const RATE = Number(process.argv[2] ?? 1_000);
const SECONDS = Number(process.argv[3] ?? 5);
const ROUNDS = Number(process.argv[4] ?? 3);
const HOST = "127.0.0.1";
const BODY = new Uint8Array(200);
const HEADERS: [string, string][] = Array.from(
  { length: 8 },
  (_, index) => [`header-${index}`, "a value of some length"],
);

interface Transport {
  name: string;
  /** Sends a request and waits for its answer. */
  exchange(): Promise<void>;
  /** Closes the connections and the listener. */
  close(): Promise<void>;
}

async function createHttp(port: number): Promise<Transport> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(200, HEADERS.flat());
    response.end(BODY);
  });
  await new Promise<void>((resolve) => server.listen(port, HOST, resolve));
  const pool = new Pool(`http://${HOST}:${port}`, { connections: 64 });
  return {
    name: "HTTP/1.1",
    async exchange() {
      const answer = await pool.request({
        method: "GET",
        path: "/billing/accounts/1",
        headers: HEADERS.flat(),
      });
      await answer.body.arrayBuffer();
    },
    async close() {
      await pool.destroy();
      server.close();
    },
  };
}

async function createFramedTcp(port: number): Promise<Transport> {
  const attempt: Attempt = {
    kind: "attempt",
    attempt: { source: "0123456789abcdef", order: 1 },
    incarnation: "0123456789abcdef",
    version: 1,
    from: `${HOST}:${port}`,
    requestId: "0123456789abcdef",
    service: "billing",
    caller: "",
    rank: 0,
    elsewhere: false,
    class: "lookup",
    tenant: "default",
    repeatable: true,
    timeLeftMs: 1_000,
    method: "GET",
    path: "/billing/accounts/1",
    headers: HEADERS,
    suspect: false,
    body: new Uint8Array(),
    streaming: false,
  };
  const answer: Frame = {
    kind: "answer",
    attempt: attempt.attempt,
    status: 200,
    headers: HEADERS,
    body: BODY,
    streaming: false,
    load: {
      inFlight: 1,
      allowed: 12,
      queued: 0,
      version: 1,
      slowness: 1,
      incarnation: "g",
    },
  };
  async function serve(channel: Channel): Promise<void> {
    while (await channel.receive()) {
      await channel.send(answer);
    }
  }
  const listener = await tcpNetwork.listen(
    `${HOST}:${port}`,
    (channel) => void serve(channel),
  );
  const idleChannels: Channel[] = [];
  return {
    name: "framed TCP",
    async exchange() {
      const channel = idleChannels.pop() ??
        await tcpNetwork.connect(listener.address, 1_000);
      await channel.send(attempt);
      await channel.receive();
      idleChannels.push(channel);
    },
    async close() {
      idleChannels.forEach((channel) => channel.close());
      await listener.close();
    },
  };
}

async function createGrpc(port: number): Promise<Transport> {
  const message = z.object({
    headers: z.array(z.tuple([z.string(), z.string()])),
    body: z.instanceof(Uint8Array),
  });
  const method = defineMethod("exchange", { request: message, reply: message });
  const server = createGrpcRpc();
  server.handle(
    method,
    () => Promise.resolve({ headers: HEADERS, body: BODY }),
  );
  const peer = await server.listen(`${HOST}:${port}`);
  const client = createGrpcRpc();
  return {
    name: "gRPC",
    async exchange() {
      const request = { headers: HEADERS, body: new Uint8Array() };
      await client.call({ peer, method, request, timeoutMs: 1_000 });
    },
    async close() {
      await client.close();
      await server.close();
    },
  };
}

/**
 * Makes exchanges at a steady rate, after a warm-up; returns a row of results.
 */
async function measure(transport: Transport): Promise<string> {
  for (let count = 0; count < 2_000; count++) {
    await transport.exchange();
  }
  const times: number[] = [];
  const running: Promise<void>[] = [];
  const cpuBefore = process.cpuUsage();
  const startedAt = performance.now();
  for (let count = 0; count < RATE * SECONDS; count++) {
    const waitMs = startedAt + count * 1_000 / RATE - performance.now();
    if (waitMs > 0.5) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    const sentAt = performance.now();
    running.push(
      transport.exchange().then(() => {
        times.push(performance.now() - sentAt);
      }),
    );
  }
  await Promise.all(running);
  const { user, system } = process.cpuUsage(cpuBefore);
  times.sort((first, second) => first - second);
  const quantile = (share: number): string =>
    times[Math.floor(times.length * share)].toFixed(2);
  const cpuUs = (user + system) / (RATE * SECONDS);
  return `| ${transport.name} | ${quantile(0.5)} | ${quantile(0.99)} | ${
    cpuUs.toFixed(0)
  } |`;
}

const [httpPort, framedPort, grpcPort] = await findFreePorts(3);
const transports = [
  await createHttp(httpPort),
  await createFramedTcp(framedPort),
  await createGrpc(grpcPort),
];
process.stdout.write(
  `${RATE} exchanges/s, ${SECONDS} s, ${ROUNDS} rounds\n\n` +
    "| transport | p50 ms | p99 ms | processor µs for both ends |\n" +
    "|---|---|---|---|\n",
);
for (let round = 0; round < ROUNDS; round++) {
  for (const transport of transports) {
    process.stdout.write(await measure(transport) + "\n");
  }
}
for (const transport of transports) {
  await transport.close();
}
process.exit(0);
