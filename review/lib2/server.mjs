/**
 * A sound stand-in of a backend server: it reads each request, works on it for
 * some time, and answers with its receipt.
 * @module
 */
import { createServer } from "node:http";
import { PORTS, sleep, until } from "./fleet.mjs";
import { Heartbeats } from "./heartbeats.mjs";

const SLOTS = 14;

async function readAll(incoming) {
  const parts = [];
  for await (const part of incoming) {
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/**
 * Starts a server beside a node and reports it. `onRun` is called with the id of
 * each request when the work on it begins.
 */
export async function startServer(node, { record, workMs, onRun }) {
  const heartbeats = new Heartbeats(node, {
    id: `i-${node.number}`,
    slots: SLOTS,
  });
  let running = 0;

  function load() {
    return `${running},0,${SLOTS},100`;
  }

  async function run(incoming, answer) {
    const id = String(incoming.headers["x-mustardcross-request-id"]);
    await readAll(incoming);
    running++;
    record.note(`${node.name}'s server runs ${id}`);
    onRun?.(id);
    try {
      await sleep(workMs);
    } finally {
      running--;
    }
    answer.writeHead(200, {
      "x-mustardcross-request-id": id,
      "x-mustardcross-response-signature": `s.${id}`,
      "x-mustardcross-server-load": load(),
      "content-length": id.length,
    });
    answer.end(id);
  }

  const server = createServer((incoming, answer) => {
    if (incoming.url === "/health") {
      answer.writeHead(200, {
        "x-mustardcross-instance-id": heartbeats.id,
        "x-mustardcross-server-load": load(),
        "content-length": 0,
      });
      answer.end();
      return;
    }
    run(incoming, answer).catch((error) =>
      record.note(`${node.name}'s server lost a request: ${error.message}`)
    );
  });
  await new Promise((resolve) => server.listen(PORTS.app, node.ip, resolve));
  await until("a heartbeat to be taken", () => heartbeats.send());
  await heartbeats.start();
  return { server, heartbeats };
}
