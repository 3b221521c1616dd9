/**
 * A small crowd of clients that send many requests ahead and never read the
 * answers, and the checks that a process has to pass beside them.
 * @module
 */
import { connect, type Socket } from "node:net";
import type { Test } from "tap";
import { eventually } from "../processes.ts";
import type { Site } from "./processes.ts";

const HOST = "127.0.0.1";
/** Connections that the crowd keeps open. */
const CONNECTIONS = 20;
/** Time for which the crowd sends. */
const SEND_MS = 4_000;
/** Bytes that a client passes to one write. */
const WRITE_BYTES = 64 * 1024;
/**
 * Most memory of a process. A node has 250 MB for its process and everything
 * else, and the load tests of the deployments allow 130 MB.
 */
const MAX_BYTES = 130 * 1024 * 1024;
/** Descriptors of a process: twice those of the crowd, and 60 of its own. */
const MAX_DESCRIPTORS = 2 * CONNECTIONS + 60;
const ANSWER_TIMEOUT_MS = 5_000;

/** Requests of a crowd, and where they are sent. */
export interface CrowdCase {
  name: string;
  /** Process of the site that gets them, and the name of its port. */
  process: "node" | "control";
  port: string;
  /** Bytes of one request. */
  request: string;
}

/** A request that is sent beside a crowd, and the status of its answer. */
export interface OrdinaryRequest {
  port: string;
  request: string;
  status: number;
}

interface Crowd {
  /** Number of requests written so far. */
  readonly sent: number;
  leave(): void;
}

function startCrowd(port: number, request: string): Crowd {
  const count = Math.ceil(WRITE_BYTES / request.length);
  const bytes = Buffer.from(request.repeat(count));
  const sockets = new Set<Socket>();
  let sent = 0;
  let sending = true;
  function join(): void {
    const socket = connect(port, HOST);
    sockets.add(socket);
    socket.pause();
    socket.on("error", () => {});
    socket.on("close", () => {
      sockets.delete(socket);
      if (sending) {
        // A client whose connection was closed comes back.
        setTimeout(join, 20);
      }
    });
    function write(): void {
      while (sending && !socket.destroyed && socket.write(bytes)) {
        sent += count;
      }
    }
    socket.on("drain", write);
    socket.once("connect", write);
  }
  for (let index = 0; index < CONNECTIONS; index++) {
    join();
  }
  return {
    get sent() {
      return sent;
    },
    leave() {
      sending = false;
      sockets.forEach((socket) => socket.destroy());
    },
  };
}

/** Sends one ordinary request; resolves with its status line or `""`. */
export function fetchStatusLine(
  port: number,
  request: string,
): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, HOST);
    let received = "";
    const end = () => {
      socket.destroy();
      resolve(received.split("\r\n")[0]);
    };
    const timer = setTimeout(end, ANSWER_TIMEOUT_MS);
    socket.on("error", () => {});
    socket.on("close", () => {
      clearTimeout(timer);
      end();
    });
    socket.on("data", (part) => {
      received += String(part);
      if (received.includes("\r\n\r\n")) {
        end();
      }
    });
    socket.write(request);
  });
}

/**
 * Lets a crowd send, and checks that the process lives within its bounds and
 * answers an ordinary request beside the crowd.
 */
async function checkCrowd(
  t: Test,
  { site, crowd: { name, ...crowdCase }, ordinary }: {
    site: Site;
    crowd: CrowdCase;
    ordinary: OrdinaryRequest;
  },
): Promise<void> {
  const process = site[crowdCase.process];
  process.resetPeak();
  const crowd = startCrowd(site.ports[crowdCase.port], crowdCase.request);
  try {
    const until = Date.now() + SEND_MS;
    let descriptors = 0;
    while (Date.now() < until && process.alive) {
      descriptors = Math.max(descriptors, process.descriptors());
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    if (!process.alive) {
      t.fail("the process lives", { output: process.output().slice(-600) });
      return;
    }
    const peak = process.peakBytes();
    t.ok(peak < MAX_BYTES, `memory: ${peak} of ${MAX_BYTES} bytes`);
    t.ok(
      descriptors < MAX_DESCRIPTORS,
      `descriptors: ${descriptors} of ${MAX_DESCRIPTORS}`,
    );
    let line = "";
    const isAnswered = async (): Promise<boolean> => {
      const port = site.ports[ordinary.port];
      line = await fetchStatusLine(port, ordinary.request);
      return line.startsWith(`HTTP/1.1 ${ordinary.status}`) || !process.alive;
    };
    await eventually("an ordinary request is answered", isAnswered)
      .catch((error) => t.fail(String(error), { line, log: process.output() }));
    t.ok(process.alive, "an ordinary request is answered");
    t.comment(`${name}: ${crowd.sent} requests written, ${peak} bytes`);
  } finally {
    crowd.leave();
  }
}

/** Checks crowds one after another, each on a site that passed those before. */
export async function checkCrowds(
  t: Test,
  { startSite, crowds, ordinary }: {
    startSite: () => Promise<Site>;
    crowds: readonly CrowdCase[];
    ordinary: Record<CrowdCase["process"], OrdinaryRequest>;
  },
): Promise<void> {
  let site: Site | undefined;
  for (const crowd of crowds) {
    const current = site ?? await startSite();
    site = current;
    const passed = await t.test(crowd.name, async (t) => {
      const checked = ordinary[crowd.process];
      await checkCrowd(t, { site: current, crowd, ordinary: checked })
        .catch((error) => t.fail(String(error)));
    }).then(() => t.passing(), () => false);
    if (!passed) {
      await current.end();
      site = undefined;
    }
  }
  await site?.end();
}
