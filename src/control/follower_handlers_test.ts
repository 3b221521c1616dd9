import { test } from "tap";
import { createDurableMarks } from "./durable_marks.ts";
import { createFakeParts, THREE_VOTERS } from "./fake_parts.ts";
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

const PART = {
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
  const fake = await createFakeParts();
  const marks = createDurableMarks();
  handleAppends(fake.parts, marks);
  handleSnapshots(fake.parts);
  return { ...fake, marks, log: fake.parts.local.openLog() };
}

test("entries are durable and applied before the leader is told", async (t) => {
  const { ask, log, parts, marks } = await build();
  const mark = { identity: "c", index: 7, term: 1 };
  const reply = await ask(appendMethod, { ...APPEND, marks: [mark] });
  t.same(reply, { term: 1, accepted: true, lastIndex: 2 });
  t.match(log, { durableIndex: 2, commitIndex: 2, appliedIndex: 2 });
  t.match(parts.contact, { leader: LEADER });
  t.same(marks.all(), [mark]);
});

test("entries that do not follow on are refused with the last index", async (t) => {
  const { ask, log } = await build();
  const reply = await ask(appendMethod, {
    ...APPEND,
    previousIndex: 5,
    previousTerm: 1,
  });
  t.same(reply, { term: 1, accepted: false, lastIndex: 1 });
  t.equal(log.lastIndex, 1);
});

test("a leader of an older term is told of the newer one", async (t) => {
  const { ask, log, parts } = await build();
  await parts.ballot.save({ term: 3, votedFor: "" });
  t.match(await ask(appendMethod, APPEND), { term: 3, accepted: false });
  t.match(await ask(snapshotMethod, PART), { term: 3, received: 0 });
  t.equal(log.lastIndex, 1);
  t.equal(parts.contact.leader, undefined);
});

test("entries for another replica on this address are refused", async (t) => {
  const { ask, log } = await build();
  t.match(await ask(appendMethod, { ...APPEND, to: "a2" }), {
    accepted: false,
  });
  t.match(await ask(snapshotMethod, { ...PART, to: "a2" }), { received: 0 });
  t.equal(log.lastIndex, 1);
});

test("a snapshot is installed once its last part has come", async (t) => {
  const { ask, log } = await build();
  t.same(await ask(snapshotMethod, PART), { term: 1, received: 2 });
  t.equal(log.snapshot, undefined);
  const last = { ...PART, offset: 2, bytes: new Uint8Array([3]), last: true };
  t.same(await ask(snapshotMethod, last), { term: 1, received: 3 });
  t.match(log, { lastIndex: 9, commitIndex: 9, appliedIndex: 9 });
  t.same(log.snapshot?.state, new Uint8Array([1, 2, 3]));
});
