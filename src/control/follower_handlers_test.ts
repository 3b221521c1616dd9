import { test } from "tap";
import { createDurableWatermarks } from "./durable_watermarks.ts";
import { createFakeContext, THREE_VOTERS } from "./fake_context.ts";
import { fakeReplica } from "./fake_replica.ts";
import { handleAppends, handleSnapshots } from "./follower_handlers.ts";
import { appendMethod, snapshotMethod } from "./methods.ts";

const LEADER = fakeReplica("b");

const APPEND = {
  to: "a",
  term: 1,
  leader: LEADER,
  previousIndex: 1,
  previousTerm: 0,
  entries: [{ index: 2, term: 1, logTime: 0 }],
  commitIndex: 2,
  marks: [],
};

const CHUNK = {
  to: "a",
  term: 1,
  leader: LEADER,
  index: 9,
  lastTerm: 1,
  logTime: 0,
  membership: THREE_VOTERS,
  offset: 0,
  bytes: new Uint8Array([1, 2]),
  last: false,
};

async function build() {
  const fake = await createFakeContext();
  const marks = createDurableWatermarks();
  handleAppends(fake.context, marks);
  handleSnapshots(fake.context);
  return { ...fake, marks, log: fake.context.local.openLog() };
}

test("accepted entries are durable and applied before the reply", async (t) => {
  const { ask, log, context, marks } = await build();
  const mark = { identity: "c", index: 7, term: 1 };
  const reply = await ask(appendMethod, { ...APPEND, marks: [mark] });
  t.same(reply, { term: 1, accepted: true, lastIndex: 2 });
  t.match(log, { durableIndex: 2, commitIndex: 2, appliedIndex: 2 });
  t.match(context.contact, { leader: LEADER });
  t.same(marks.all(), [mark]);
});

test("entries after a gap are rejected with the last index", async (t) => {
  const { ask, log } = await build();
  const reply = await ask(appendMethod, {
    ...APPEND,
    previousIndex: 5,
    previousTerm: 1,
  });
  t.same(reply, { term: 1, accepted: false, lastIndex: 1 });
  t.equal(log.lastIndex, 1);
});

test("requests of an older term are rejected with the newer term", async (t) => {
  const { ask, log, context } = await build();
  await context.termState.save({ term: 3, votedFor: "" });
  t.match(await ask(appendMethod, APPEND), { term: 3, accepted: false });
  t.match(await ask(snapshotMethod, CHUNK), { term: 3, received: 0 });
  t.equal(log.lastIndex, 1);
  t.equal(context.contact.leader, undefined);
});

test("requests for another identity at this address are refused", async (t) => {
  const { ask, log } = await build();
  t.match(await ask(appendMethod, { ...APPEND, to: "a2" }), {
    accepted: false,
  });
  t.match(await ask(snapshotMethod, { ...CHUNK, to: "a2" }), { received: 0 });
  t.equal(log.lastIndex, 1);
});

test("a snapshot is installed once its last chunk was received", async (t) => {
  const { ask, log } = await build();
  t.same(await ask(snapshotMethod, CHUNK), { term: 1, received: 2 });
  t.equal(log.snapshot, undefined);
  const last = { ...CHUNK, offset: 2, bytes: new Uint8Array([3]), last: true };
  t.same(await ask(snapshotMethod, last), { term: 1, received: 3 });
  t.match(log, { lastIndex: 9, commitIndex: 9, appliedIndex: 9 });
  t.same(log.snapshot?.state, new Uint8Array([1, 2, 3]));
});
