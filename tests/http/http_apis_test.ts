/**
 * Tests of the HTTP interfaces of a real process: complete and interrupted
 * responses, back-pressure on streams, size limits and request smuggling.
 */
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import { connect, type Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "tap";
import { request } from "undici";
import { silentLogger } from "../../src/core/logger.ts";
import { findFreePorts } from "../../src/demo/ports.ts";
import { MAX_WHOLE_ANSWER_BYTES } from "../../src/guard/run.ts";
import { MAX_UNREAD_BYTES } from "../../src/network/inbox.ts";
import { type MustardcrossProcess, startProcess } from "../../src/process.ts";
import { siteSchema } from "../../src/settings/site.ts";
import { eventually } from "../processes.ts";
import { type BufferedBytes, trackBufferedBytes } from "./buffered_bytes.ts";

const HOST = "127.0.0.1";
/** More than the kernel's two buffers of a connection can hold (36 MB). */
const LONG_RESPONSE_BYTES = 80_000_000;
/** Turns of the event loop for which a slow reader waits after each read. */
const TURNS_PER_READ = 8;
/** Size limit of a stream's buffer, and of a single read into it. */
const STREAM_BUFFER_BYTES = 64 * 1024;
/**
 * Most bytes of one response that may be buffered: the unread frames of a
 * channel, and in each of four streams (the backend server's socket, the HTTP
 * client's body, the HTTP response, the caller's socket) its limit and one read.
 */
const MAX_BUFFERED_BYTES = MAX_UNREAD_BYTES + MAX_WHOLE_ANSWER_BYTES +
  4 * 2 * STREAM_BUFFER_BYTES;

interface Harness {
  /** Base URL for callers. */
  caller: string;
  /** Base URL of the administration API. */
  admin: string;
  /** Base URL of the local API. */
  local: string;
  /** Port for callers. */
  port: number;
  /** Requests that the backend server received, as `METHOD path`. */
  backendRequests: string[];
  process: MustardcrossProcess;
  bufferedBytes: BufferedBytes;
  end(): Promise<void>;
}

const site = siteSchema.parse({
  name: "lab",
  domains: ["east"],
  services: {
    work: {
      team: "work",
      routes: {
        read: {
          path: "/work/*",
          class: "read",
          repeatable: true,
          // The long response ends within it however slowly it is read.
          deadline_ms: 120_000,
        },
        write: {
          method: "POST",
          path: "/work/*",
          class: "write",
          repeatable: false,
          max_body_bytes: 4_000_000,
        },
      },
    },
  },
});

function startBackend(
  backendRequests: string[],
  port: number,
): Promise<Server> {
  const server = createServer((req, res) => {
    const url = req.url ?? "";
    if (url === "/health") {
      res.end("ok");
      return;
    }
    backendRequests.push(`${req.method} ${url}`);
    if (url.includes("/cut")) {
      res.writeHead(200, { "content-length": "1000000" });
      res.write(Buffer.alloc(200_000));
      setTimeout(() => res.destroy(), 20);
      return;
    }
    if (url.includes("/long")) {
      const size = LONG_RESPONSE_BYTES;
      res.writeHead(200, { "content-length": String(size) });
      let sent = 0;
      const writeRest = (): void => {
        while (sent < size) {
          sent += 65_536;
          const part = Buffer.alloc(
            Math.min(65_536, 65_536 + size - sent),
            "x",
          );
          if (!res.write(part)) {
            res.once("drain", writeRest);
            return;
          }
        }
        res.end();
      };
      writeRest();
      return;
    }
    let size = 0;
    req.on("data", (part: Buffer) => {
      size += part.length;
    });
    req.on("end", () => {
      res.end(`${req.method} ${url} ${size}`);
    });
  });
  return new Promise((resolve) =>
    server.listen(port, HOST, () => resolve(server))
  );
}

async function startHarness(): Promise<Harness> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-http-"));
  writeFileSync(
    join(folder, "tokens"),
    "ann ann-token\nclerk clerk-token records\n",
  );
  const [rpc, admin, caller, peer, local, backend] = await findFreePorts(6);
  const backendRequests: string[] = [];
  const bufferedBytes = trackBufferedBytes(backend, caller);
  const server = await startBackend(backendRequests, backend);
  const process = await startProcess({
    vm: "vm1",
    domain: "east",
    region: "default",
    control_addresses: [`${HOST}:${rpc}`],
    control: {
      rpc_address: `${HOST}:${rpc}`,
      admin_address: `${HOST}:${admin}`,
      token_file: join(folder, "tokens"),
      data: join(folder, "data"),
      may_found: true,
      founders: { vm1: `${HOST}:${rpc}` },
    },
    node: {
      caller_address: `${HOST}:${caller}`,
      peer_address: `${HOST}:${peer}`,
      local_address: `${HOST}:${local}`,
    },
  }, { logger: silentLogger });
  const control = process.control!;
  await eventually("control leads", async () => {
    const reply = await control.change({
      kind: "change",
      changeId: "first",
      operator: "ann",
      against: 0,
      force: false,
      wallTime: Date.now(),
      action: { kind: "configure", site },
    });
    return reply.kind === "done";
  });
  await process.node!.announce({
    service: "work",
    address: `${HOST}:${backend}`,
    boot: "one",
    sequence: 1,
    healthPath: "/health",
  });
  const base = `http://${HOST}:${caller}`;
  await eventually("a call is answered", async () => {
    const answer = await request(`${base}/work/first`);
    await answer.body.dump();
    return answer.statusCode === 200;
  });
  return {
    caller: base,
    admin: `http://${HOST}:${admin}`,
    local: `http://${HOST}:${local}`,
    port: caller,
    backendRequests,
    process,
    bufferedBytes,
    async end() {
      bufferedBytes.end();
      await process.stop();
      server.closeAllConnections();
      server.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Sends a raw text; resolves with all that is received until the close. */
function sendRaw(port: number, text: string): Promise<string> {
  return new Promise((resolve) => {
    const socket: Socket = connect(port, HOST, () => socket.write(text));
    let received = "";
    socket.on("data", (part) => {
      received += part;
    });
    socket.on("error", () => {});
    socket.on("close", () => resolve(received));
  });
}

test("the HTTP interfaces of a process with both roles", async (t) => {
  const harness = await startHarness();
  t.teardown(() => harness.end());

  await t.test("a long request body is streamed completely", async (t) => {
    const answer = await request(`${harness.caller}/work/upload`, {
      method: "POST",
      body: Buffer.alloc(3_000_000, "a"),
    });
    t.equal(await answer.body.text(), "POST /work/upload 3000000");
  });

  await t.test("a request with a body over the limit is refused", async (t) => {
    const before = harness.backendRequests.length;
    const answer = await request(`${harness.caller}/work/upload`, {
      method: "POST",
      body: Buffer.alloc(4_500_000, "a"),
    });
    await answer.body.dump();
    t.equal(answer.statusCode, 413);
    t.equal(answer.headers["mustardcross-outcome"], "not_run");
    t.equal(harness.backendRequests.length, before);
  });

  await t.test("an interrupted response never looks complete", async (t) => {
    const answer = await request(`${harness.caller}/work/cut`);
    await t.rejects(answer.body.arrayBuffer());
  });

  await t.test("a slow reader causes bounded buffering", async (t) => {
    const before = harness.bufferedBytes.count();
    const answer = await request(`${harness.caller}/work/long`);
    let received = 0;
    let maxBuffered = 0;
    for await (const part of answer.body) {
      received += part.length;
      for (let turn = 0; turn < TURNS_PER_READ; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
        maxBuffered = Math.max(
          maxBuffered,
          harness.bufferedBytes.count() - before,
        );
      }
    }
    t.equal(received, LONG_RESPONSE_BYTES);
    t.ok(maxBuffered > 0, "the buffered bytes were tracked");
    t.ok(
      maxBuffered <= MAX_BUFFERED_BYTES,
      `${maxBuffered} bytes were buffered at once`,
    );
  });

  await t.test("request smuggling is rejected", async (t) => {
    const before = harness.backendRequests.length;
    const malformedRequests = [
      "POST /work/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /work/evil HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST /work/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n" +
      "Content-Length: 40\r\n\r\nabcdGET /work/evil HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST /work/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      "GET /work/a HTTP/1.1\r\nHost: x\r\nX: a\nGET /work/evil HTTP/1.1\r\n\r\n",
    ];
    for (const malformedRequest of malformedRequests) {
      const received = await sendRaw(harness.port, malformedRequest);
      t.match(received, /^HTTP\/1\.1 400 /);
    }
    t.notOk(
      harness.backendRequests.slice(before).some((entry) =>
        entry.includes("evil")
      ),
    );
  });

  await t.test("oversized headers are rejected", async (t) => {
    const received = await sendRaw(
      harness.port,
      `GET /work/a HTTP/1.1\r\nHost: x\r\nX: ${"a".repeat(20_000)}\r\n\r\n`,
    );
    t.match(received, /^HTTP\/1\.1 431 /);
  });

  await t.test("malformed requests are counted", async (t) => {
    const text = await (await request(`${harness.local}/metrics`)).body.text();
    const [, count] = /malformed_requests_total (\d+)/.exec(text) ?? [];
    t.equal(count, "5", "four that smuggle, and one with oversized headers");
  });

  await t.test("a request counts for the workspace that its header names", async (t) => {
    const answer = await request(`${harness.caller}/work/none`, {
      headers: { "x-own": "1", "mustardcross-tenant": "ward" },
    });
    await answer.body.dump();
    t.equal(answer.headers["mustardcross-outcome"], "ran");
    const text = await (await request(`${harness.local}/metrics`)).body.text();
    t.match(text, /mustardcross_requests_total\{tenant="ward",class="read"/);
  });

  await t.test("a request without a route is refused", async (t) => {
    const answer = await request(`${harness.caller}/elsewhere`);
    await answer.body.dump();
    t.equal(answer.statusCode, 404);
    t.equal(answer.headers["mustardcross-reason"], "no_route");
  });

  await t.test("outdated and invalid announcements are rejected", async (t) => {
    const announce = async (body: unknown): Promise<number> => {
      const answer = await request(`${harness.local}/announce`, {
        method: "POST",
        body: JSON.stringify(body),
      });
      await answer.body.dump();
      return answer.statusCode;
    };
    const announcement = { service: "work", address: `${HOST}:1`, boot: "one" };
    t.equal(await announce({ ...announcement, sequence: 1 }), 409);
    t.equal(await announce({ ...announcement, sequence: "x" }), 400);
    t.equal(await announce("nothing"), 400);
  });
});

test("a graceful stop responds to all requests that were pipelined", async (t) => {
  const harness = await startHarness();
  const socket = connect(harness.port, HOST);
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (part) => {
    received += part;
  });
  await once(socket, "connect");
  const ended = harness.end();
  socket.write(
    ["one", "two", "three"].map((name) =>
      `GET /work/${name} HTTP/1.1\r\nhost: work\r\n\r\n`
    ).join(""),
  );
  await once(socket, "close");
  await ended;
  t.equal(received.match(/HTTP\/1.1 200 OK/g)?.length, 3);
  t.equal(
    harness.backendRequests.length,
    4,
    "three requests, and the harness's first one",
  );
});

test("the administration API rejects unauthorized, invalid and unsafe changes", async (t) => {
  const harness = await startHarness();
  t.teardown(() => harness.end());
  const call = async (
    token: string,
    body: string,
  ): Promise<{ status: number; body: Record<string, unknown> }> => {
    const answer = await request(`${harness.admin}/v1/changes`, {
      method: "POST",
      headers: { authorization: `Bearer ${token}` },
      body,
    });
    const json = await answer.body.json() as Record<string, unknown>;
    return { status: answer.statusCode, body: json };
  };
  const change = (action: unknown, more = {}): string =>
    JSON.stringify({ change_id: "x1", against: 1, action, ...more });
  const configured = { kind: "configure", site };

  t.equal((await call("wrong", change(configured))).status, 401);
  t.equal((await call("ann-token", "{")).status, 400);
  t.equal((await call("ann-token", '{"change_id":"a"}')).status, 400);
  t.equal((await call("ann-token", "x".repeat(5_000_000))).status, 413);
  const withoutEffect = await call(
    "clerk-token",
    change(configured, { against: 1 }),
  );
  t.equal(
    withoutEffect.status,
    200,
    "a change without effect concerns no team",
  );
  const slots = structuredClone(site);
  slots.services.work.slots = 3;
  const ofOtherTeam = await call(
    "clerk-token",
    change({ kind: "configure", site: slots }, { change_id: "x2", against: 2 }),
  );
  t.match(ofOtherTeam.body, { kind: "refused", reason: "forbidden" });
  const lastDomain = await call(
    "ann-token",
    change({ kind: "domain_out", domain: "east" }, {
      change_id: "x3",
      against: 2,
    }),
  );
  t.match(lastDomain.body, { kind: "refused", reason: "last_domain" });
  const forced = await call(
    "ann-token",
    change({ kind: "domain_out", domain: "east" }, {
      change_id: "x4",
      against: 2,
      force: true,
    }),
  );
  t.match(forced.body, { kind: "accepted", version: 3 });
  const reused = await call(
    "ann-token",
    change({ kind: "domain_back", domain: "east" }, { change_id: "x4" }),
  );
  t.match(reused.body, { kind: "refused", reason: "change_id_reused" });

  const withKeys = (keys: string[]) => ({
    kind: "configure",
    site: { ...site, workspaces: { acme: { keys }, zeta: { keys: ["k-2"] } } },
  });
  const more = { change_id: "x5", against: 3 };
  const shared = await call("ann-token", change(withKeys(["k-2"]), more));
  t.equal(shared.status, 400, "workspaces that share a key");
  t.notMatch(JSON.stringify(shared.body), "k-2");
  const accepted = await call("ann-token", change(withKeys(["k-1"]), more));
  t.match(accepted.body, { kind: "accepted", version: 4 });
  for (const [token, seesKeys] of [["ann", true], ["clerk", false]] as const) {
    const answer = await request(`${harness.admin}/v1/site`, {
      headers: { authorization: `Bearer ${token}-token` },
    });
    t.equal((await answer.body.text()).includes("k-1"), seesKeys, token);
  }
});
