/**
 * The HTTP edges of a real process: whole answers, streams with back-pressure,
 * limits, and shapes that smuggle requests.
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
import { freePorts } from "../../src/demo/ports.ts";
import { WHOLE_ANSWER_BYTES } from "../../src/guard/run.ts";
import { MAX_UNREAD_FRAMES } from "../../src/network/inbox.ts";
import { type MustardcrossProcess, startProcess } from "../../src/process.ts";
import { siteSchema } from "../../src/settings/site.ts";
import { eventually } from "../processes.ts";
import { type BytesHeld, watchBytesHeld } from "./bytes_held.ts";

const HOST = "127.0.0.1";
/** More than the kernel's two buffers of a connection ever take in (36 MB). */
const LONG_BYTES = 80_000_000;
/** Turns of the event loop that a slow reader lets pass after each read. */
const TURNS_PER_READ = 8;
/** Limit of a stream's buffer, and the most that one read adds to it. */
const STREAM_BYTES = 64 * 1024;
/**
 * Most that may be held of one answer: the frames that may wait in a channel, and
 * in each of four streams (a socket, the library's body, the answer, a socket)
 * its limit and one read beyond it.
 */
const HELD_BYTES = MAX_UNREAD_FRAMES * WHOLE_ANSWER_BYTES +
  4 * 2 * STREAM_BYTES;

interface Lab {
  caller: string;
  admin: string;
  local: string;
  port: number;
  /** Requests that the backend server saw, as `METHOD path`. */
  seen: string[];
  process: MustardcrossProcess;
  held: BytesHeld;
  end(): Promise<void>;
}

const site = siteSchema.parse({
  name: "lab",
  domains: ["east"],
  services: {
    work: {
      team: "work",
      routes: {
        read: { path: "/work/*", class: "read", repeatable: true },
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

function startBackend(seen: string[], port: number): Promise<Server> {
  const server = createServer((req, res) => {
    const url = req.url ?? "";
    if (url === "/health") {
      res.end("ok");
      return;
    }
    seen.push(`${req.method} ${url}`);
    if (url.includes("/cut")) {
      res.writeHead(200, { "content-length": "1000000" });
      res.write(Buffer.alloc(200_000));
      setTimeout(() => res.destroy(), 20);
      return;
    }
    if (url.includes("/long")) {
      const size = LONG_BYTES;
      res.writeHead(200, { "content-length": String(size) });
      let sent = 0;
      const push = (): void => {
        while (sent < size) {
          sent += 65_536;
          const part = Buffer.alloc(
            Math.min(65_536, 65_536 + size - sent),
            "x",
          );
          if (!res.write(part)) {
            res.once("drain", push);
            return;
          }
        }
        res.end();
      };
      push();
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

async function startLab(): Promise<Lab> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-http-"));
  writeFileSync(
    join(folder, "tokens"),
    "ann ann-token\nclerk clerk-token records\n",
  );
  const [rpc, admin, caller, peer, local, backend] = await freePorts(6);
  const seen: string[] = [];
  const held = watchBytesHeld(backend, caller);
  const server = await startBackend(seen, backend);
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
    seen,
    process,
    held,
    async end() {
      held.end();
      await process.stop();
      server.closeAllConnections();
      server.close();
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

/** Sends raw bytes and returns all that comes back until the end. */
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

test("the HTTP edges of a process with both roles", async (t) => {
  const lab = await startLab();
  t.teardown(() => lab.end());

  await t.test("a long body is streamed whole", async (t) => {
    const answer = await request(`${lab.caller}/work/upload`, {
      method: "POST",
      body: Buffer.alloc(3_000_000, "a"),
    });
    t.equal(await answer.body.text(), "POST /work/upload 3000000");
  });

  await t.test("a body over the limit is refused as not run", async (t) => {
    const before = lab.seen.length;
    const answer = await request(`${lab.caller}/work/upload`, {
      method: "POST",
      body: Buffer.alloc(4_500_000, "a"),
    });
    await answer.body.dump();
    t.equal(answer.statusCode, 413);
    t.equal(answer.headers["mustardcross-outcome"], "not_run");
    t.equal(lab.seen.length, before);
  });

  await t.test("a cut answer never looks whole", async (t) => {
    const answer = await request(`${lab.caller}/work/cut`);
    await t.rejects(answer.body.arrayBuffer());
  });

  await t.test("a slow reader holds no more than bounded buffers", async (t) => {
    const before = lab.held.count();
    const answer = await request(`${lab.caller}/work/long`);
    let received = 0;
    let most = 0;
    for await (const part of answer.body) {
      received += part.length;
      for (let turn = 0; turn < TURNS_PER_READ; turn += 1) {
        await new Promise((resolve) => setImmediate(resolve));
        most = Math.max(most, lab.held.count() - before);
      }
    }
    t.equal(received, LONG_BYTES);
    t.ok(most > 0, "the connections were seen");
    t.ok(most <= HELD_BYTES, `${most} bytes were held at once`);
  });

  await t.test("a request that smuggles another is refused", async (t) => {
    const before = lab.seen.length;
    const shapes = [
      "POST /work/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n" +
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /work/evil HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST /work/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n" +
      "Content-Length: 40\r\n\r\nabcdGET /work/evil HTTP/1.1\r\nHost: x\r\n\r\n",
      "POST /work/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
      "GET /work/a HTTP/1.1\r\nHost: x\r\nX: a\nGET /work/evil HTTP/1.1\r\n\r\n",
    ];
    for (const shape of shapes) {
      const received = await sendRaw(lab.port, shape);
      t.match(received, /^HTTP\/1\.1 400 /);
    }
    t.notOk(lab.seen.slice(before).some((one) => one.includes("evil")));
  });

  await t.test("oversized headers are refused", async (t) => {
    const received = await sendRaw(
      lab.port,
      `GET /work/a HTTP/1.1\r\nHost: x\r\nX: ${"a".repeat(20_000)}\r\n\r\n`,
    );
    t.match(received, /^HTTP\/1\.1 431 /);
  });

  await t.test("headers of one connection are not passed on", async (t) => {
    const answer = await request(`${lab.caller}/work/none`, {
      headers: { "x-own": "1", "mustardcross-tenant": "ward" },
    });
    await answer.body.dump();
    t.equal(answer.headers["mustardcross-outcome"], "ran");
    const text = await (await request(`${lab.local}/metrics`)).body.text();
    t.match(text, /mustardcross_requests_total\{tenant="ward",class="read"/);
  });

  await t.test("an unknown path is refused as not run", async (t) => {
    const answer = await request(`${lab.caller}/elsewhere`);
    await answer.body.dump();
    t.equal(answer.statusCode, 404);
    t.equal(answer.headers["mustardcross-reason"], "no_route");
  });

  await t.test("an outdated announcement changes nothing", async (t) => {
    const announce = async (body: unknown): Promise<number> => {
      const answer = await request(`${lab.local}/announce`, {
        method: "POST",
        body: JSON.stringify(body),
      });
      await answer.body.dump();
      return answer.statusCode;
    };
    const same = { service: "work", address: `${HOST}:1`, boot: "one" };
    t.equal(await announce({ ...same, sequence: 1 }), 409);
    t.equal(await announce({ ...same, sequence: "x" }), 400);
    t.equal(await announce("nothing"), 400);
  });
});

test("a planned stop answers each of the requests that came at once", async (t) => {
  const lab = await startLab();
  const socket = connect(lab.port, HOST);
  socket.on("error", () => {});
  let received = "";
  socket.on("data", (part) => {
    received += part;
  });
  await once(socket, "connect");
  const ended = lab.end();
  socket.write(
    ["one", "two", "three"].map((name) =>
      `GET /work/${name} HTTP/1.1\r\nhost: work\r\n\r\n`
    ).join(""),
  );
  await once(socket, "close");
  await ended;
  t.equal(received.match(/HTTP\/1.1 200 OK/g)?.length, 3);
  t.equal(lab.seen.length, 4, "with the first one of the lab");
});

test("the administration API refuses what it must", async (t) => {
  const lab = await startLab();
  t.teardown(() => lab.end());
  const call = async (
    token: string,
    body: string,
  ): Promise<{ status: number; body: Record<string, unknown> }> => {
    const answer = await request(`${lab.admin}/v1/changes`, {
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
  const forbidden = await call(
    "clerk-token",
    change(configured, { against: 1 }),
  );
  t.equal(forbidden.status, 200, "a change of nothing touches no team");
  const slots = structuredClone(site);
  slots.services.work.slots = 3;
  const touching = await call(
    "clerk-token",
    change({ kind: "configure", site: slots }, { change_id: "x2", against: 2 }),
  );
  t.match(touching.body, { kind: "refused", reason: "forbidden" });
  const last = await call(
    "ann-token",
    change({ kind: "domain_out", domain: "east" }, {
      change_id: "x3",
      against: 2,
    }),
  );
  t.match(last.body, { kind: "refused", reason: "last_domain" });
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
});
