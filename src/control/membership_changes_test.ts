import { test } from "tap";
import { fakeReplica } from "./fake_replica.ts";
import type { ReplicaInfo } from "./log_store.ts";
import {
  isMember,
  type PeerStatus,
  withLearner,
  withoutExpiredLearner,
  withoutSilentVoter,
  withPromotedLearner,
} from "./membership_changes.ts";

const [a, b, c, d] = ["a", "b", "c", "d"].map((vm) => fakeReplica(vm));

function peerStatus(
  silenceMs: Record<string, number>,
  caughtUp: string[] = [],
): PeerStatus {
  return {
    silenceMs: (one) => silenceMs[one.identity] ?? 0,
    caughtUp: (one) => caughtUp.includes(one.identity),
    responsiveMs: 600,
  };
}

function names(replicas: ReplicaInfo[] = []): string {
  return replicas.map((one) => one.identity).join("");
}

test("a new learner replaces an earlier one on its VM", (t) => {
  const second = fakeReplica("d", "d2");
  const membership = withLearner({ voters: [a], learners: [c, d] }, second);
  t.same(membership, { voters: [a], learners: [c, second] });
  t.ok(isMember(membership, "d2"));
  t.notOk(isMember(membership, "d"));
  t.end();
});

test("a silent voter is demoted only from an even number of voters", (t) => {
  const silent = peerStatus({ b: 6_001 });
  const four = { voters: [a, b, c, d], learners: [] };
  t.equal(names(withoutSilentVoter(four, silent)?.voters), "acd");
  t.equal(names(withoutSilentVoter(four, silent)?.learners), "b");
  t.equal(withoutSilentVoter(four, peerStatus({ b: 6_000 })), undefined);
  const three = { voters: [a, b, c], learners: [] };
  t.equal(withoutSilentVoter(three, silent), undefined);
  t.end();
});

test("a silent voter is not demoted while too few others answer", (t) => {
  const four = { voters: [a, b, c, d], learners: [] };
  const others = peerStatus({ b: 6_001, c: 601, d: 601 });
  t.equal(withoutSilentVoter(four, others), undefined);
  t.end();
});

test("a learner is promoted once it has caught up and answers", (t) => {
  const membership = { voters: [a, b], learners: [c] };
  t.equal(withPromotedLearner(membership, peerStatus({})), undefined);
  t.equal(
    withPromotedLearner(membership, peerStatus({ c: 601 }, ["c"])),
    undefined,
  );
  const next = withPromotedLearner(membership, peerStatus({}, ["c"]));
  t.same(next, { voters: [a, b, c], learners: [] });
  t.end();
});

test("a voter whose disk was lost is removed before its replacement is promoted", (t) => {
  const second = fakeReplica("b", "b2");
  const ready = peerStatus({}, ["b2"]);
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

test("a learner that has been silent for too long is removed", (t) => {
  const membership = { voters: [a], learners: [b, c] };
  t.equal(
    withoutExpiredLearner(membership, peerStatus({ b: 120_000 })),
    undefined,
  );
  const next = withoutExpiredLearner(membership, peerStatus({ b: 120_001 }));
  t.same(next, { voters: [a], learners: [c] });
  t.end();
});
