/**
 * The servers of one zone fall silent while they send long answers. Checks that
 * each request has its final answer, or the end of its connection, half a second
 * after the timeout of its route.
 * @module
 */
import { connect } from "node:net";
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import {
  BROKEN,
  HELD,
  manifest,
  NOT_RUN,
  route,
  runCase,
  service,
  sleep,
  startServer,
} from "../lib3/deployment.mjs";

const HERE = dirname(fileURLToPath(import.meta.url));
const DOWNLOADS = 72;
const DOWNLOAD_INTERVAL_MS = 7;
const ANSWER_BYTES = 300_000;
const PIECE_BYTES = 20_000;
const PIECE_INTERVAL_MS = 40;
const ROUTE_TIMEOUT_MS = 1_500;
const DEADLINE_MS = 6_000;
/** Time after the timeout at which the final answer has to be there. */
const BOUND_MS = 500;
const DARK_AFTER_MS = 550;
const DARK_MS = 4_500;
/** `cold_start` of the service. */
const COLD_MS = 3_000;
const SETTLE_MS = 5_000;
const MIN_REQUESTS = 8;
const MAX_SHARE = 0.25;

/** Downloads once on a connection of its own; resolves once that has ended. */
function download(node, { id, record }) {
  const [host, port] = node.address("outbound").split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const sentAt = Date.now();
    let head = "";
    let length = Infinity;
    let received = 0;
    let status = 0;
    let ended = false;
    function end(how) {
      if (ended) {
        return;
      }
      ended = true;
      const ms = Date.now() - sentAt;
      record.write("client.ended", { id, how, status, received, after: ms });
      socket.destroy();
      resolve({ id, how, ms, status, received });
    }
    socket.on("data", (bytes) => {
      if (status === 0) {
        head += bytes.toString("latin1");
        const at = head.indexOf("\r\n\r\n");
        if (at < 0) {
          return;
        }
        status = Number(head.slice(9, 12));
        length = Number(/content-length: (\d+)/i.exec(head.slice(0, at))?.[1]);
        received = head.length - at - 4;
      } else {
        received += bytes.length;
      }
      if (received >= length) {
        end("complete");
      }
    });
    socket.on("error", () => {});
    socket.once("close", () => end("closed"));
    // The client gives up at its own deadline.
    setTimeout(() => end("gave up"), DEADLINE_MS).unref();
    record.write("client.sends", { id });
    socket.write(
      `GET /maps/${id} HTTP/1.1\r\nHost: shop.example\r\n` +
        `X-Mustardcross-Request-Id: ${id}\r\n` +
        `X-Mustardcross-Request-Deadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
    );
  });
}

await runCase(HERE, async ({ record, trouble, start, cleanUp }) => {
  const deployment = await start({
    cores: ["a", "b", "c"],
    sidecars: [
      { zone: "a", service: "desk" },
      { zone: "a", service: "records" },
      { zone: "b", service: "records" },
      { zone: "c", service: "records" },
    ],
  });
  const accepted = await deployment.order({
    method: "PUT",
    path: "/config",
    after: 0,
    body: manifest(1, [
      service("desk"),
      service("records"),
      route("maps", {
        service: "records",
        kind: "download",
        timeout: `${ROUTE_TIMEOUT_MS}ms`,
        attempts: 2,
      }),
    ]),
  });
  if (accepted !== 200 || !await deployment.waitReady()) {
    return NOT_RUN;
  }
  let dark = false;
  for (const node of deployment.nodes) {
    const isDark = () => dark && node.zone === "c";
    const open = new Set();
    const server = await startServer({
      node,
      service: node.service,
      id: `i-${node.name}`,
      record,
      slots: 24,
      handle(request, response) {
        const id = request.headers["x-mustardcross-request-id"];
        const stopAt = Date.now() +
          Number(request.headers["x-mustardcross-request-deadline-ms"]);
        record.write("server.runs", { id, server: node.name });
        response.writeHead(200, {
          "x-mustardcross-request-id": id,
          "x-mustardcross-response-signature": `sig-${id}`,
          "content-length": ANSWER_BYTES,
        });
        open.add(response);
        response.once("close", () => open.delete(response));
        async function send() {
          for (let at = 0; at < ANSWER_BYTES; at += PIECE_BYTES) {
            if (isDark()) {
              return;
            }
            if (Date.now() > stopAt) {
              response.destroy();
              return;
            }
            response.write(Buffer.alloc(PIECE_BYTES, "m"));
            await sleep(PIECE_INTERVAL_MS);
          }
          response.end();
        }
        void send();
        return true;
      },
    });
    server.endOpen = () => open.forEach((response) => response.destroy());
    node.server = server;
    cleanUp(() => server.close());
  }
  await sleep(SETTLE_MS);
  const downloads = [];
  for (let index = 0; index < DOWNLOADS; index++) {
    downloads.push(download(deployment.nodes[0], { id: `d${index}`, record }));
    await sleep(DOWNLOAD_INTERVAL_MS);
  }
  await sleep(DARK_AFTER_MS - DOWNLOADS * DOWNLOAD_INTERVAL_MS);
  if (trouble) {
    const fallen = deployment.nodes.filter(({ zone }) => zone === "c")
      .map(({ server }) => server);
    record.write("servers.dark", { zone: "c" });
    dark = true;
    for (const server of fallen) {
      server.dark = true;
      server.stopBeats();
    }
    await sleep(DARK_MS);
    // They come back as new starts, cold; nothing of before is left.
    dark = false;
    for (const server of fallen) {
      server.endOpen();
      server.server.closeAllConnections();
      server.dark = false;
      server.restart(`${server.instance}-again`, COLD_MS);
      server.startBeats();
    }
    record.write("servers.back", { zone: "c" });
  }
  const ends = await Promise.all(downloads);
  const longer = ends.filter(({ ms }) => ms > ROUTE_TIMEOUT_MS);
  const unanswered = longer.filter(({ ms }) => ms > ROUTE_TIMEOUT_MS + BOUND_MS);
  record.write("check", {
    downloads: DOWNLOADS,
    complete: ends.filter(({ how }) => how === "complete").length,
    longerThanTimeout: longer.length,
    unansweredAfterBound: unanswered.length,
    longestMs: Math.max(...ends.map(({ ms }) => ms)),
  });
  console.log(
    `${longer.length} lasted longer than the timeout, ` +
      `${unanswered.length} had no final answer ${BOUND_MS} ms after it`,
  );
  return unanswered.length >= MIN_REQUESTS &&
      unanswered.length > longer.length * MAX_SHARE
    ? BROKEN
    : HELD;
});
