/**
 * Attempts of other nodes that were cancelled while a node was stalled. When it
 * resumes, its channels hold the attempts and, behind them, their cancellation.
 * The node must not send such attempts to its server.
 */
import { t, test } from "tap";
import { stallProcess } from "../stall.ts";
import { eventually } from "../processes.ts";
import {
  createCallers,
  createSenders,
  findFinalFrame,
  formatRead,
  listReached,
  SLOTS,
  startLongTimeoutHarness,
} from "./stalled_node.ts";
import { answerNormally, callUrl, sendRequest } from "./harness.ts";

const CLOSING_CHANNELS = 200;
const STAYING_CHANNELS = 6;
/** Longer than the lag that counts as a stall, shorter than a queue's wait. */
const SHORT_STALL_MS = 120;

const harness = await startLongTimeoutHarness();
t.teardown(() => harness.stop());
t.beforeEach(async () => {
  await harness.sendHeartbeat();
});

for (const closeMode of ["fin", "rst"] as const) {
  test(`attempts of nodes that close by ${closeMode} do not run`, async (t) => {
    const name = `attempt-${closeMode}`;
    await stallProcess({
      groups: [
        createSenders(harness, { count: CLOSING_CHANNELS, closeMode, name }),
      ],
    });
    t.same(await listReached(harness, name), []);
  });
}

test("queued requests whose callers have left do not run", async (t) => {
  const { guard } = harness.process.node!;
  const pendingAnswers: (() => void)[] = [];
  harness.setBehaviour((request, response) =>
    pendingAnswers.push(() => answerNormally(request, response))
  );
  t.teardown(() => harness.setBehaviour(answerNormally));
  const busy = Array.from(
    { length: guard.load().allowed },
    (_, index) => sendRequest(harness, `/read/busy-${index}`),
  );
  await eventually("the server runs requests", () => pendingAnswers.length > 0);
  let running: string[] = [];
  await stallProcess({
    groups: [
      createCallers(harness, {
        count: SLOTS,
        closeMode: "fin",
        writeBeforeStall: true,
        text: (index) => formatRead(`queued-${index}`, 7_000),
      }),
    ],
    stallMs: SHORT_STALL_MS,
    async before() {
      await eventually(
        "some requests are queued",
        () => guard.load().queued > 0,
      );
      running = harness.received.map(({ url }) => url);
      // The server's answers arrive before the callers' FIN in the same poll.
      harness.setBehaviour(answerNormally);
      pendingAnswers.forEach((answer) => answer());
    },
  });
  await Promise.all(busy);
  const reachedUrls = await listReached(harness, "queued");
  t.same(reachedUrls.filter((url) => !running.includes(url)), []);
});

test("an attempt whose sender stays is answered", async (t) => {
  const received = await stallProcess({
    groups: [
      createSenders(harness, {
        count: CLOSING_CHANNELS,
        closeMode: "fin",
        name: "sent-left",
      }),
      createSenders(harness, {
        count: STAYING_CHANNELS,
        closeMode: "stay",
        name: "sent-stays",
        change: { timeLeftMs: 7_000 },
      }),
    ],
  });
  t.same(await listReached(harness, "sent-left"), []);
  t.same(
    received.map((text) => findFinalFrame(text)?.kind),
    Array(STAYING_CHANNELS).fill("answer"),
  );
});

test("an attempt that expired before it was read is refused", async (t) => {
  const received = await stallProcess({
    groups: [
      createSenders(harness, {
        count: STAYING_CHANNELS,
        closeMode: "stay",
        name: "sent-unread",
        change: { timeLeftMs: 100 },
      }),
    ],
  });
  t.same(await listReached(harness, "sent-unread"), []);
  for (const text of received) {
    const end = findFinalFrame(text);
    t.equal(end?.kind === "refused" && end.reason, "no_time");
  }
});

test("the metrics show the event loop delay", async (t) => {
  await stallProcess({ groups: [] });
  const { body } = await callUrl(`http://${harness.metricsAddress}/metrics`);
  const [, seconds] =
    /^mustardcross_event_loop_delay_max_seconds (\S+)$/m.exec(body) ?? [];
  t.ok(Number(seconds) >= 0.5, `${seconds} s`);
});
