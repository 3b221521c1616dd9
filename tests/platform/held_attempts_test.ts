/**
 * A node that was held up finds other nodes' attempts in its channels and,
 * behind them, their cancellation. Nothing of these reaches its server.
 */
import { t, test } from "tap";
import { holdUp } from "../hold_up.ts";
import { eventually } from "../processes.ts";
import {
  callers,
  endOf,
  reached,
  read,
  senders,
  SLOTS,
  startPatientLab,
} from "./held_lab.ts";
import { ask, call, sound } from "./lab.ts";

const KEPT = 200;
const STAYING = 6;
/** Over what counts as late, and less than requests wait in a queue. */
const SHORT_HOLD_MS = 120;

const lab = await startPatientLab();
t.teardown(() => lab.end());
t.beforeEach(async () => {
  await lab.beat();
});

for (const leaving of ["fin", "rst"] as const) {
  test(`attempts of nodes that end by ${leaving}`, async (t) => {
    const name = `attempt-${leaving}`;
    await holdUp({ groups: [senders(lab, { count: KEPT, leaving, name })] });
    t.same(await reached(lab, name), []);
  });
}

test("callers that leave a full server's queue", async (t) => {
  const { guard } = lab.process.node!;
  const open: (() => void)[] = [];
  lab.behave((seen, response) => open.push(() => sound(seen, response)));
  t.teardown(() => lab.behave(sound));
  const busy = Array.from(
    { length: guard.load().allowed },
    (_, index) => ask(lab, `/read/busy-${index}`),
  );
  await eventually("the server works", () => open.length > 0);
  let running: string[] = [];
  await holdUp({
    groups: [
      callers(lab, {
        count: SLOTS,
        leaving: "fin",
        early: true,
        text: (index) => read(`queued-${index}`, 7_000),
      }),
    ],
    holdMs: SHORT_HOLD_MS,
    async before() {
      await eventually("some wait", () => guard.load().queued > 0);
      running = lab.seen.map(({ url }) => url);
      // Its answers come before the callers' leaving, in one poll.
      lab.behave(sound);
      open.forEach((answer) => answer());
    },
  });
  await Promise.all(busy);
  const later = await reached(lab, "queued");
  t.same(later.filter((url) => !running.includes(url)), []);
});

test("an attempt whose sender stays is answered", async (t) => {
  const received = await holdUp({
    groups: [
      senders(lab, { count: KEPT, leaving: "fin", name: "sent-left" }),
      senders(lab, {
        count: STAYING,
        leaving: "stay",
        name: "sent-stays",
        change: { timeLeftMs: 7_000 },
      }),
    ],
  });
  t.same(await reached(lab, "sent-left"), []);
  t.same(
    received.map((text) => endOf(text)?.kind),
    Array(STAYING).fill("answer"),
  );
});

test("an attempt whose time passed unread is refused", async (t) => {
  const received = await holdUp({
    groups: [
      senders(lab, {
        count: STAYING,
        leaving: "stay",
        name: "sent-unread",
        change: { timeLeftMs: 100 },
      }),
    ],
  });
  t.same(await reached(lab, "sent-unread"), []);
  for (const text of received) {
    const end = endOf(text);
    t.equal(end?.kind === "refused" && end.reason, "no_time");
  }
});

test("the hold-up is shown", async (t) => {
  await holdUp({ groups: [] });
  const { body } = await call(`http://${lab.metricsAddress}/metrics`);
  const [, seconds] =
    /^mustardcross_event_loop_delay_max_seconds (\S+)$/m.exec(body) ?? [];
  t.ok(Number(seconds) >= 0.5, `${seconds} s`);
});
