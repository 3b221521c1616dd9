import { test } from "tap";
import { fakeReplica } from "./fake_replica.ts";
import type { ReplicaInfo } from "./log_store.ts";
import {
  isMember,
  type PeerFacts,
  withLearner,
  withoutGoneLearner,
  withoutSilentVoter,
  withPromotedLearner,
} from "./membership_changes.ts";

const [a, b, c, d] = ["a", "b", "c", "d"].map((vm) => fakeReplica(vm));

function facts(
  silenceMs: Record<string, number>,
  caughtUp: string[] = [],
): PeerFacts {
  return {
    silenceMs: (one) => silenceMs[one.identity] ?? 0,
    caughtUp: (one) => caughtUp.includes(one.identity),
    answeringMs: 600,
  };
}

function names(replicas: ReplicaInfo[] = []): string {
  return replicas.map((one) => one.identity).join("");
}

test("a learner takes the place of an earlier one of its VM", (t) => {
  const second = fakeReplica("d", "d2");
  const membership = withLearner({ voters: [a], learners: [c, d] }, second);
  t.same(membership, { voters: [a], learners: [c, second] });
  t.ok(isMember(membership, "d2"));
  t.notOk(isMember(membership, "d"));
  t.end();
});

test("a silent voter loses its vote only of an even number", (t) => {
  const silent = facts({ b: 6_001 });
  const four = { voters: [a, b, c, d], learners: [] };
  t.equal(names(withoutSilentVoter(four, silent)?.voters), "acd");
  t.equal(names(withoutSilentVoter(four, silent)?.learners), "b");
  t.equal(withoutSilentVoter(four, facts({ b: 6_000 })), undefined);
  const three = { voters: [a, b, c], learners: [] };
  t.equal(withoutSilentVoter(three, silent), undefined);
  t.end();
});

test("a silent voter keeps its vote where too few others answer", (t) => {
  const four = { voters: [a, b, c, d], learners: [] };
  const others = facts({ b: 6_001, c: 601, d: 601 });
  t.equal(withoutSilentVoter(four, others), undefined);
  t.end();
});

test("a learner votes once it has caught up and answers", (t) => {
  const membership = { voters: [a, b], learners: [c] };
  t.equal(withPromotedLearner(membership, facts({})), undefined);
  t.equal(withPromotedLearner(membership, facts({ c: 601 }, ["c"])), undefined);
  const next = withPromotedLearner(membership, facts({}, ["c"]));
  t.same(next, { voters: [a, b, c], learners: [] });
  t.end();
});

test("a voter whose disk was lost goes before its successor votes", (t) => {
  const second = fakeReplica("b", "b2");
  const ready = facts({}, ["b2"]);
  const first = withPromotedLearner(
    { voters: [a, b, c], learners: [second] },
    ready,
  );
  t.same(first, { voters: [a, c], learners: [second] });
  t.same(withPromotedLearner(first!, ready), {
    voters: [a, c, second],
    learners: [],
  });
  t.end();
});

test("a learner that is gone for good is dropped", (t) => {
  const membership = { voters: [a], learners: [b, c] };
  t.equal(withoutGoneLearner(membership, facts({ b: 120_000 })), undefined);
  const next = withoutGoneLearner(membership, facts({ b: 120_001 }));
  t.same(next, { voters: [a], learners: [c] });
  t.end();
});
