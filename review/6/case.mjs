/**
 * Long requests, some of which a server rejects before they are in. Each body
 * is known from the id of its request; a server that runs another one reports
 * it.
 * @module
 */
import { createHash, randomBytes } from "node:crypto";
import { Agent, createServer, request } from "node:http";
import { fileURLToPath } from "node:url";
import { LIMITS, PORTS, route, service, sleep, until } from "../lib2/fleet.mjs";
import { Heartbeats } from "../lib2/heartbeats.mjs";
import { runCase, TROUBLE } from "../lib2/record.mjs";

const SERVICE = "lot-service";
const NODES = 2;
const SLOTS = 14;
/** Share of a garbling server's answers that are early. */
const EARLY_SHARE = 0.05;
/** One of the two servers garbles, for some seconds at a time. */
const GARBLING_SERVERS = 1;
const GARBLE_MS = 5_500;
const GARBLE_EVERY_MS = 7_500;
const REQUESTS = 1_100;
/** Mean time between two requests; they come at random. */
const GAP_MS = 33;
const BODY_BYTES = 192 * 1024;
const PARTS = 24;
/** Time in which a client sends its body. */
const UPLOAD_MS = 400;
const WORK_MS = 20;
const DEADLINE_MS = 1_500;

/** Clients keep their connections open for many requests. */
const connections = new Agent({ keepAlive: true });

/** The body of a request: its id, again and again. */
function bodyOf(id) {
  return Buffer.alloc(BODY_BYTES, id);
}

function digest(bytes) {
  return createHash("sha256").update(bytes).digest("hex").slice(0, 16);
}

/** Ids of all requests so far. */
const sentIds = new Set();

/** Names the other requests whose bytes stand in a body. */
function findForeignIds(bytes, own) {
  const text = bytes.toString("latin1");
  return [...sentIds].filter((id) => id !== own && text.includes(id));
}

async function readAll(incoming) {
  const parts = [];
  for await (const part of incoming) {
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/** Starts the stand-in of a backend server beside a node. */
async function startServer(node, { record, garbles }) {
  const heartbeats = new Heartbeats(node, {
    id: `i-${node.number}`,
    slots: SLOTS,
  });
  const startedAt = Date.now();
  let running = 0;
  let requests = 0;
  let early = 0;

  function load() {
    return `${running},0,${SLOTS},100`;
  }

  /** Whether this answer is early; the share stays below the limit. */
  function isEarly() {
    const phaseMs = (Date.now() - startedAt) % GARBLE_EVERY_MS;
    if (!TROUBLE || !garbles || phaseMs > GARBLE_MS) {
      return false;
    }
    requests++;
    if (early + 1 > requests * EARLY_SHARE) {
      return false;
    }
    early++;
    return true;
  }

  async function run(incoming, answer, id) {
    running++;
    try {
      const body = await readAll(incoming);
      const expected = digest(bodyOf(id));
      const found = digest(body);
      record.note(`${node.name} runs ${id}: ${body.length} bytes, ${found}`);
      if (found !== expected) {
        record.violation(
          `${node.name} ran ${id} with a changed body: ${body.length} bytes, ` +
            `with bytes of ${findForeignIds(body, id).join(" ") || "no other"}`,
        );
      }
      await sleep(WORK_MS);
      answer.writeHead(200, {
        "x-mustardcross-request-id": id,
        "x-mustardcross-response-signature": `s.${id}`,
        "x-mustardcross-server-load": load(),
        "content-length": 2,
      });
      answer.end("ok");
    } finally {
      running--;
    }
  }

  const server = createServer((incoming, answer) => {
    const id = String(incoming.headers["x-mustardcross-request-id"]);
    if (incoming.url === "/health") {
      answer.writeHead(200, {
        "x-mustardcross-instance-id": heartbeats.id,
        "x-mustardcross-server-load": load(),
        "content-length": 0,
      });
      answer.end();
      return;
    }
    if (isEarly()) {
      // The rest of the body is read and dropped; the connection stays.
      record.note(`${node.name} rejects ${id} before its body is in`);
      answer.writeHead(503, {
        "x-mustardcross-request-id": id,
        "x-mustardcross-not-executed": "1",
        "x-mustardcross-server-load": load(),
        "content-length": 0,
      });
      answer.end();
      incoming.resume();
      return;
    }
    run(incoming, answer, id).catch((error) =>
      record.note(`${node.name} did not get ${id} whole: ${error.message}`)
    );
  });
  server.on("clientError", (error, socket) => {
    record.note(`${node.name} got bytes that are no request: ${error.code}`);
    socket.destroy();
  });
  await new Promise((resolve) => server.listen(PORTS.app, node.ip, resolve));
  await until("a heartbeat to be taken", () => heartbeats.send());
  await heartbeats.start();
}

/** Sends one long request, part by part; resolves with the status. */
function upload(node, id, record) {
  return new Promise((resolve) => {
    const body = bodyOf(id);
    const sent = request({
      host: node.ip,
      port: PORTS.outbound,
      method: "POST",
      path: "/book/1",
      agent: connections,
      headers: {
        host: "ficu95.example",
        "x-mustardcross-request-id": id,
        "x-mustardcross-request-deadline-ms": DEADLINE_MS,
        "content-length": body.length,
      },
    }, (answer) => {
      answer.resume();
      answer.on("error", () => {});
      answer.on("end", () => end(answer.statusCode));
    });

    function end(status) {
      record.note(`${node.name} answered ${id}: ${status}`);
      resolve(status);
    }

    async function sendParts() {
      const size = BODY_BYTES / PARTS;
      for (let at = 0; at < BODY_BYTES && !sent.destroyed; at += size) {
        sent.write(body.subarray(at, at + size));
        await sleep(UPLOAD_MS / PARTS);
      }
      sent.end();
    }
    sent.on("error", (error) => end(error.code));
    void sendParts();
  });
}

await runCase(fileURLToPath(new URL(".", import.meta.url)), async (play) => {
  const { fleet, record } = play;
  fleet.add("control", 3);
  fleet.add("node", NODES, SERVICE);
  fleet.start();
  const manifest = await fleet.putManifest({
    after: 0,
    version: 1,
    resources: [
      route("book", { kind: "non_idempotent", service: SERVICE }),
      service(SERVICE),
      LIMITS,
    ],
  });
  record.note(`the manifest was answered ${manifest.status}`);
  await fleet.waitUntilReady();
  for (const [index, node] of fleet.nodes.entries()) {
    await startServer(node, { record, garbles: index < GARBLING_SERVERS });
  }
  await sleep(4_000);
  const answers = [];
  for (let number = 0; number < REQUESTS; number++) {
    const node = fleet.nodes[number % NODES];
    const id = randomBytes(8).toString("hex");
    sentIds.add(id);
    record.note(`a client sends ${id} to ${node.name}`);
    answers.push(upload(node, id, record));
    await sleep(-GAP_MS * Math.log(1 - Math.random()));
  }
  const counts = {};
  for (const status of await Promise.all(answers)) {
    counts[status] = (counts[status] ?? 0) + 1;
  }
  record.note(`answers by status: ${JSON.stringify(counts)}`);
});
