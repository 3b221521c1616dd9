/**
 * A planned stop beside a caller that pipelines, so that requests are in flight
 * on its connection at every moment. A stop that went on taking them would last
 * until its time limit, at which the process would cut those that still run.
 */
import { connect } from "node:net";
import { test } from "tap";
import { silentLogger } from "../../src/core/logger.ts";
import { createSeededRandom } from "../../src/core/random.ts";
import {
  type CallerServer,
  createCallerServer,
} from "../../src/http/caller_server.ts";
import type { Call, Reply } from "../../src/ingress/call.ts";
import type { Node } from "../../src/node/node.ts";
import { noLag } from "../../src/time/event_loop_lag.ts";
import { createSystemTimer } from "../../src/time/timer.ts";
import { eventually } from "../processes.ts";

const HOST = "127.0.0.1";
const SEND_INTERVAL_MS = 5;
const ANSWER_INTERVAL_MS = 10;
/** Requests that are open while more arrive. */
const OPEN_REQUESTS = 3;
const LINGER_MS = 100;

/** Requests that wait for their replies. */
interface SlowNode {
  server: CallerServer;
  /** Paths of the requests that the ingress has handled. */
  handled: string[];
  end(): void;
}

function createReply(path: string): Reply {
  return {
    status: 200,
    headers: [],
    body: Buffer.from(path),
    outcome: "ran",
    reason: "",
    server: "one",
    attempts: 1,
  };
}

/**
 * Creates a server for callers whose ingress replies to a request once enough
 * later ones have arrived, or no more arrive.
 */
function createSlowNode(): SlowNode {
  const handled: string[] = [];
  const open: (() => void)[] = [];
  let seen = 0;
  const replying = setInterval(() => {
    const arriving = handled.length > seen;
    seen = handled.length;
    if (open.length > OPEN_REQUESTS || !arriving) {
      open.shift()?.();
    }
  }, ANSWER_INTERVAL_MS);
  const node = {
    ready: true,
    metrics: { count() {} },
    directory: { global: undefined, onChange() {} },
    ingress: {
      handle({ path }: Call): Promise<Reply> {
        handled.push(path);
        return new Promise((resolve) =>
          open.push(() => resolve(createReply(path)))
        );
      },
    },
  };
  return {
    server: createCallerServer({
      node: node as unknown as Node,
      timer: createSystemTimer(),
      random: createSeededRandom(1),
      logger: silentLogger,
      lag: noLag,
    }),
    handled,
    end: () => clearInterval(replying),
  };
}

test("a stop beside a caller that pipelines without a pause", async (t) => {
  const { server, handled, end } = createSlowNode();
  t.teardown(end);
  const address = await server.listen(`${HOST}:0`);
  const client = connect(Number(address.split(":")[1]), HOST);
  let received = "";
  client.on("data", (bytes) => {
    received += bytes;
  });
  client.on("error", () => {});
  const closed = new Promise((resolve) => client.once("close", resolve));
  let sent = 0;
  const sending = setInterval(() => {
    client.write(`GET /piped-${sent++}. HTTP/1.1\r\nhost: a\r\n\r\n`);
  }, SEND_INTERVAL_MS);
  t.teardown(() => clearInterval(sending));
  await eventually("requests are open", () => handled.length > OPEN_REQUESTS);
  await server.stop(LINGER_MS);
  await closed;
  const unanswered = handled.filter((path) => !received.includes(path));
  t.same(unanswered, []);
  t.ok(sent > handled.length, "requests behind the last one are not handled");
  t.match(
    received,
    /connection: close/i,
    "the last response tells of the close",
  );
});
