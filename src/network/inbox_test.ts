import { test } from "tap";
import type { Frame } from "./frames.ts";
import { createInbox, MAX_UNREAD_FRAMES } from "./inbox.ts";

const END: Frame = { kind: "end" };

test("an inbox is full by the number of its frames", async (t) => {
  const inbox = createInbox();
  for (let count = 1; count < MAX_UNREAD_FRAMES; count++) {
    inbox.push(END, 1);
    t.notOk(inbox.full);
  }
  inbox.push(END, 1);
  t.ok(inbox.full);
  await inbox.next();
  t.notOk(inbox.full);
});

// Guards against a few long frames that take the memory of a node, as parts of
// bodies do that their caller does not read.
test("an inbox is full by the bytes of its frames", async (t) => {
  let reads = 0;
  const inbox = createInbox(() => reads++);
  for (let count = 0; count < 4; count++) {
    t.notOk(inbox.full);
    inbox.push(END, 64 * 1024);
  }
  t.ok(inbox.full);
  let woken = false;
  void inbox.waitForSpace().then(() => {
    woken = true;
  });
  await inbox.next();
  await Promise.resolve();
  t.notOk(inbox.full);
  t.ok(woken, "a sender that waits goes on");
  t.equal(reads, 1);
});

test("a frame that a reader waits for takes no space", async (t) => {
  const inbox = createInbox();
  const next = inbox.next();
  inbox.push(END, 1024 * 1024);
  t.notOk(inbox.full);
  t.same(await next, END);
});
