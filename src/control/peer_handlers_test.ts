import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { createSupervisor } from "../core/tasks.ts";
import { createDurableWatermarks } from "./durable_watermarks.ts";
import { createElections } from "./elections.ts";
import { handleHandover, handleHellos, handleJoins } from "./peer_handlers.ts";
import { createFakeContext, THREE_VOTERS } from "./fake_context.ts";
import { fakeReplica } from "./fake_replica.ts";
import { handoverMethod, helloMethod, joinMethod } from "./methods.ts";
import { createLocalLeadership } from "./local_leadership.ts";

test("a starting replica learns whether a cluster exists and whether its disk was rolled back", async (t) => {
  const { ask, context } = await createFakeContext();
  const marks = createDurableWatermarks();
  handleHellos(context, marks);
  const hello = { identity: "b", lastIndex: 3, term: 1 };
  t.same(await ask(helloMethod, hello), {
    formed: false,
    rolledBack: false,
    members: THREE_VOTERS,
  });
  await context.termState.save({ term: 1, votedFor: "" });
  marks.update([{ identity: "b", index: 4, term: 1 }]);
  t.match(await ask(helloMethod, hello), { formed: true, rolledBack: true });
});

test("only a leader admits replicas", async (t) => {
  const { ask, context, timer } = await createFakeContext();
  const leadership = createLocalLeadership({
    context,
    marks: createDurableWatermarks(),
    supervisor: createSupervisor({ timer, report: () => {} }),
  });
  handleJoins(context, leadership);
  t.same(await ask(joinMethod, fakeReplica("d")), {
    accepted: false,
    leader: "",
  });
  leadership.begin(1);
  t.same(await ask(joinMethod, fakeReplica("b")), {
    accepted: true,
    leader: "a:1",
  });
});

test("a handover request of another term is ignored", async (t) => {
  const { ask, context } = await createFakeContext();
  const won: number[] = [];
  const elections = createElections({
    context,
    random: createSeededRandom(1),
    signal: new AbortController().signal,
    onWon: (term) => won.push(term),
  });
  handleHandover(context, elections);
  t.same(await ask(handoverMethod, { term: 5 }), { started: false });
  t.equal(context.termState.term, 0);
});
