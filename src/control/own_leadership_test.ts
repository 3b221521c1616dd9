import { test } from "tap";
import { createSupervisor } from "../core/tasks.ts";
import { createDurableMarks } from "./durable_marks.ts";
import { createFakeParts } from "./fake_parts.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createOwnLeadership } from "./own_leadership.ts";

async function build() {
  const fake = await createFakeParts();
  const { timer } = fake;
  const leadership = createOwnLeadership({
    parts: fake.parts,
    marks: createDurableMarks(),
    supervisor: createSupervisor({ timer, report: () => {} }),
  });
  return { ...fake, leadership };
}

test("who does not lead appends and confirms nothing, and names the leader", async (t) => {
  const { parts, leadership } = await build();
  parts.contact.heard(fakeReplica("b"));
  const notLeader = { reason: "not_leader", leader: "b:1" };
  const proposed = await leadership.propose({});
  t.match(proposed._unsafeUnwrapErr(), notLeader);
  t.match((await leadership.confirm())._unsafeUnwrapErr(), notLeader);
  t.notOk(leadership.admit(fakeReplica("d")));
  t.equal(parts.local.openLog().lastIndex, 1);
});

test("a proposal that waits when leadership ends is told unknown", async (t) => {
  const { parts, leadership } = await build();
  leadership.begin(1);
  t.equal(parts.local.role, "leader");
  const proposed = leadership.propose({});
  leadership.stepDown("newer term");
  t.match((await proposed)._unsafeUnwrapErr(), { reason: "unknown" });
  t.equal(parts.local.role, "follower");
});

test("a read that waits when leadership ends is told not leader", async (t) => {
  const { leadership } = await build();
  leadership.begin(1);
  const read = leadership.confirm();
  leadership.stepDown("newer term");
  t.match((await read)._unsafeUnwrapErr(), { reason: "not_leader" });
});

test("a leader that no quorum answers steps down", async (t) => {
  const { parts, timer, leadership } = await build();
  leadership.begin(1);
  await timer.advance(parts.tuning.electionMs);
  t.equal(parts.local.role, "leader");
  await timer.advance(2 * parts.tuning.heartbeatMs);
  t.equal(parts.local.role, "follower");
});
