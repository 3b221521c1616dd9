/**
 * Requests whose callers left while a node was stalled. When it resumes, its
 * sockets hold the requests and, behind them, the end of the connections. The
 * node must not forward such requests.
 */
import { t, test } from "tap";
import { stallProcess } from "../stall.ts";
import {
  createCallers,
  formatRead,
  formatUpload,
  listReached,
  startLongTimeoutHarness,
} from "./stalled_node.ts";

/** Below 511, the most connections in the backlog of a listening socket. */
const NEW_CONNECTIONS = 400;
const KEPT_CONNECTIONS = 200;
const MANY_CONNECTIONS = 3_000;
const PIPELINED_REQUESTS = 50;
const STAYING_CONNECTIONS = 6;
/** Makes the node close the connection once the answer is complete. */
const CLOSE_HEADER = "Connection: close\r\n";

const harness = await startLongTimeoutHarness();
t.teardown(() => harness.stop());
t.beforeEach(async () => {
  await harness.sendHeartbeat();
});

for (const closeMode of ["fin", "rst"] as const) {
  test(`requests on kept-alive connections that close by ${closeMode} do not run`, async (t) => {
    const name = `kept-${closeMode}`;
    await stallProcess({
      groups: [
        createCallers(harness, {
          count: KEPT_CONNECTIONS,
          closeMode,
          text: (index) => formatRead(`${name}-${index}`, 700),
        }),
      ],
    });
    t.same(await listReached(harness, name), []);
  });
}

for (const closeMode of ["fin", "rst"] as const) {
  test(`requests on new connections that close by ${closeMode} do not run`, async (t) => {
    const name = `new-${closeMode}`;
    await stallProcess({
      groups: [
        createCallers(harness, {
          count: NEW_CONNECTIONS,
          closeMode,
          newConnections: true,
          text: (index) => formatRead(`${name}-${index}`, 700),
        }),
      ],
    });
    t.same(await listReached(harness, name), []);
  });
}

test("thousands of requests whose callers leave together do not run", async (t) => {
  await stallProcess({
    groups: [
      createCallers(harness, {
        count: MANY_CONNECTIONS,
        closeMode: "fin",
        text: (index) => formatRead(`many-${index}`, 700),
      }),
    ],
  });
  t.same(await listReached(harness, "many"), []);
});

test("pipelined requests whose callers leave do not run", async (t) => {
  await stallProcess({
    groups: [
      createCallers(harness, {
        count: STAYING_CONNECTIONS,
        closeMode: "fin",
        text: (index) =>
          Array.from(
            { length: PIPELINED_REQUESTS },
            (_, at) => formatRead(`pipelined-${index}-${at}`, 700),
          ).join(""),
      }),
    ],
  });
  t.same(await listReached(harness, "pipelined"), []);
});

test("non-idempotent requests whose callers leave do not run", async (t) => {
  await stallProcess({
    groups: [
      createCallers(harness, {
        count: KEPT_CONNECTIONS,
        closeMode: "fin",
        text: (index) => formatUpload(`body-${index}`),
      }),
    ],
  });
  t.same(await listReached(harness, "body"), []);
});

test("a caller that stays is answered", async (t) => {
  const received = await stallProcess({
    groups: [
      createCallers(harness, {
        count: KEPT_CONNECTIONS,
        closeMode: "fin",
        text: (index) => formatRead(`among-left-${index}`, 700),
      }),
      createCallers(harness, {
        count: STAYING_CONNECTIONS,
        closeMode: "stay",
        text: (index) => formatRead(`stays-${index}`, 7_000, CLOSE_HEADER),
      }),
    ],
  });
  t.same(await listReached(harness, "among-left"), []);
  t.equal(received.length, STAYING_CONNECTIONS);
  for (const text of received) {
    t.match(text, /^HTTP\/1\.1 200 /);
  }
});

test("a request that expired before it was read is refused", async (t) => {
  const received = await stallProcess({
    groups: [
      createCallers(harness, {
        count: STAYING_CONNECTIONS,
        closeMode: "stay",
        text: (index) => formatRead(`unread-${index}`, 100, CLOSE_HEADER),
      }),
    ],
  });
  t.same(await listReached(harness, "unread"), []);
  for (const text of received) {
    t.match(text, /^HTTP\/1\.1 503 [^]*not run: no_time/);
  }
});
