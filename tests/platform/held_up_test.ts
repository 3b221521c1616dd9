/**
 * A node that was held up finds requests in its sockets and, behind them, the
 * closing of their connections. Nothing of these is sent on.
 */
import { t, test } from "tap";
import { holdUp } from "../hold_up.ts";
import { callers, reached, read, startPatientLab, upload } from "./held_lab.ts";

/** Connections that a listening socket holds at once are at most 511. */
const FRESH = 400;
const KEPT = 200;
const MANY = 3_000;
const PIPELINED = 50;
const STAYING = 6;
/** Asks for the end of the connection, so that the answer is whole. */
const LAST = "Connection: close\r\n";

const lab = await startPatientLab();
t.teardown(() => lab.end());
t.beforeEach(async () => {
  await lab.beat();
});

for (const leaving of ["fin", "rst"] as const) {
  test(`kept connections that end by ${leaving}`, async (t) => {
    const name = `kept-${leaving}`;
    await holdUp({
      groups: [
        callers(lab, {
          count: KEPT,
          leaving,
          text: (index) => read(`${name}-${index}`, 700),
        }),
      ],
    });
    t.same(await reached(lab, name), []);
  });
}

for (const leaving of ["fin", "rst"] as const) {
  test(`new connections that end by ${leaving}`, async (t) => {
    const name = `new-${leaving}`;
    await holdUp({
      groups: [
        callers(lab, {
          count: FRESH,
          leaving,
          fresh: true,
          text: (index) => read(`${name}-${index}`, 700),
        }),
      ],
    });
    t.same(await reached(lab, name), []);
  });
}

test("thousands that write and leave at once", async (t) => {
  await holdUp({
    groups: [
      callers(lab, {
        count: MANY,
        leaving: "fin",
        text: (index) => read(`many-${index}`, 700),
      }),
    ],
  });
  t.same(await reached(lab, "many"), []);
});

test("several requests in one connection", async (t) => {
  await holdUp({
    groups: [
      callers(lab, {
        count: STAYING,
        leaving: "fin",
        text: (index) =>
          Array.from(
            { length: PIPELINED },
            (_, at) => read(`pipelined-${index}-${at}`, 700),
          ).join(""),
      }),
    ],
  });
  t.same(await reached(lab, "pipelined"), []);
});

test("requests with a body that must not run twice", async (t) => {
  await holdUp({
    groups: [
      callers(lab, {
        count: KEPT,
        leaving: "fin",
        text: (index) => upload(`body-${index}`),
      }),
    ],
  });
  t.same(await reached(lab, "body"), []);
});

test("a caller that stays among them is answered", async (t) => {
  const received = await holdUp({
    groups: [
      callers(lab, {
        count: KEPT,
        leaving: "fin",
        text: (index) => read(`among-left-${index}`, 700),
      }),
      callers(lab, {
        count: STAYING,
        leaving: "stay",
        text: (index) => read(`stays-${index}`, 7_000, LAST),
      }),
    ],
  });
  t.same(await reached(lab, "among-left"), []);
  t.equal(received.length, STAYING);
  for (const text of received) {
    t.match(text, /^HTTP\/1\.1 200 /);
  }
});

test("a deadline that passed unread is refused", async (t) => {
  const received = await holdUp({
    groups: [
      callers(lab, {
        count: STAYING,
        leaving: "stay",
        text: (index) => read(`unread-${index}`, 100, LAST),
      }),
    ],
  });
  t.same(await reached(lab, "unread"), []);
  for (const text of received) {
    t.match(text, /^HTTP\/1\.1 503 [^]*not run: no_time/);
  }
});
