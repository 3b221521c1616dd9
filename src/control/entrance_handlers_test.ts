import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { createSupervisor } from "../core/tasks.ts";
import { createDurableMarks } from "./durable_marks.ts";
import { createElections } from "./elections.ts";
import {
  handleHandover,
  handleHellos,
  handleJoins,
} from "./entrance_handlers.ts";
import { createFakeParts, THREE_VOTERS } from "./fake_parts.ts";
import { fakeReplica } from "./fake_replica.ts";
import { handoverMethod, helloMethod, joinMethod } from "./methods.ts";
import { createOwnLeadership } from "./own_leadership.ts";

test("a starting replica is told of the cluster and of its lost entries", async (t) => {
  const { ask, parts } = await createFakeParts();
  const marks = createDurableMarks();
  handleHellos(parts, marks);
  const hello = { identity: "b", lastIndex: 3, term: 1 };
  t.same(await ask(helloMethod, hello), {
    formed: false,
    rolledBack: false,
    members: THREE_VOTERS,
  });
  await parts.ballot.save({ term: 1, votedFor: "" });
  marks.take([{ identity: "b", index: 4, term: 1 }]);
  t.match(await ask(helloMethod, hello), { formed: true, rolledBack: true });
});

test("only a leader takes replicas in", async (t) => {
  const { ask, parts, timer } = await createFakeParts();
  const leadership = createOwnLeadership({
    parts,
    marks: createDurableMarks(),
    supervisor: createSupervisor({ timer, report: () => {} }),
  });
  handleJoins(parts, leadership);
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

test("a handover of another term is not followed", async (t) => {
  const { ask, parts } = await createFakeParts();
  const won: number[] = [];
  const elections = createElections({
    parts,
    random: createSeededRandom(1),
    signal: new AbortController().signal,
    onWon: (term) => won.push(term),
  });
  handleHandover(parts, elections);
  t.same(await ask(handoverMethod, { term: 5 }), { started: false });
  t.equal(parts.ballot.term, 0);
});
