import { Packr } from "msgpackr";
import { test } from "tap";
import { createSupervisor } from "../core/tasks.ts";
import { createDurableWatermarks } from "./durable_watermarks.ts";
import { createFakeContext } from "./fake_context.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createLocalLeadership } from "./local_leadership.ts";

async function build() {
  const fake = await createFakeContext();
  const { timer } = fake;
  const leadership = createLocalLeadership({
    context: fake.context,
    marks: createDurableWatermarks(),
    supervisor: createSupervisor({ timer, report: () => {} }),
  });
  return { ...fake, leadership };
}

test("a replica that does not lead refuses proposals, reads and joins, and names the leader", async (t) => {
  const { context, leadership } = await build();
  context.contact.recordContact(fakeReplica("b"));
  const notLeader = { reason: "not_leader", leader: "b:1" };
  const proposed = await leadership.propose({});
  t.match(proposed._unsafeUnwrapErr(), notLeader);
  t.match((await leadership.confirm())._unsafeUnwrapErr(), notLeader);
  t.notOk(leadership.admit(fakeReplica("d")));
  t.equal(context.local.openLog().lastIndex, 1);
});

test("a proposal that waits when leadership ends resolves as unknown", async (t) => {
  const { context, leadership } = await build();
  leadership.begin(1);
  t.equal(context.local.role, "leader");
  const proposed = leadership.propose({});
  leadership.stepDown("newer term");
  t.match((await proposed)._unsafeUnwrapErr(), { reason: "unknown" });
  t.equal(context.local.role, "follower");
});

test("a read that waits when leadership ends resolves as not_leader", async (t) => {
  const { leadership } = await build();
  leadership.begin(1);
  const read = leadership.confirm();
  leadership.stepDown("newer term");
  t.match((await read)._unsafeUnwrapErr(), { reason: "not_leader" });
});

test("a leader without answers from a quorum steps down after an election timeout", async (t) => {
  const { context, timer, leadership } = await build();
  leadership.begin(1);
  await timer.advance(context.tuning.electionMs);
  t.equal(context.local.role, "leader");
  await timer.advance(2 * context.tuning.heartbeatMs);
  t.equal(context.local.role, "follower");
});

test("a large command is encoded once, not for each follower and the disk", async (t) => {
  const { context, leadership } = await build();
  let encodings = 0;
  const command = {
    get site() {
      encodings++;
      return "all routes";
    },
  };
  leadership.begin(1);
  void leadership.propose(command);
  const log = context.local.openLog();
  await log.idle();
  const packr = new Packr({ useRecords: false });
  ["b", "c"].forEach(() => packr.pack(log.batchFrom(log.lastIndex)));
  t.equal(encodings, 1);
  leadership.stepDown("newer term");
});
