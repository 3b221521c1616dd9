import { test } from "tap";
import { fakeReplica } from "./fake_replica.ts";
import type { ReplicaInfo } from "./log_store.ts";
import {
  isMember,
  type PeerStatus,
  withLearner,
  withoutExpiredLearner,
  withoutLeavingVoter,
  withoutSilentVoter,
  withPromotedLearner,
} from "./membership_changes.ts";

const [a, b, c, d] = ["a", "b", "c", "d"].map((vm) => fakeReplica(vm));

function peerStatus(
  silenceMs: Record<string, number>,
  caughtUp: string[] = [],
  { unheard = [], leaving = [] }: {
    unheard?: string[];
    leaving?: string[];
  } = {},
): PeerStatus {
  return {
    silenceMs: (one) => silenceMs[one.identity] ?? 0,
    hasAnswered: (one) => !unheard.includes(one.identity),
    isLeaving: (one) => leaving.includes(one.identity),
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

test("a learner takes the place of a silent voter of an odd number", (t) => {
  const three = { voters: [a, b, c], learners: [d] };
  const first = withPromotedLearner(three, peerStatus({ b: 1_201 }, ["d"]));
  t.equal(names(first?.voters), "ac");
  t.equal(names(first?.learners), "db", "the silent one may return");
  const second = withPromotedLearner(first!, peerStatus({ b: 1_301 }, ["d"]));
  t.equal(names(second?.voters), "acd");
  t.equal(names(second?.learners), "b");
  t.end();
});

test("one learner takes the place of one silent voter only", (t) => {
  const [e, f] = ["e", "f"].map((vm) => fakeReplica(vm));
  const five = { voters: [a, b, c, d, e], learners: [f] };
  const silent = peerStatus({ b: 2_000, c: 3_000 }, ["f"]);
  const first = withPromotedLearner(five, silent);
  t.equal(names(first?.voters), "abde", "the one that is silent for longest");
  const second = withPromotedLearner(first!, silent);
  t.equal(names(second?.voters), "abdef");
  t.equal(withPromotedLearner(second!, silent), undefined);
  t.end();
});

test("a learner is not promoted while it is open whether a voter is silent", (t) => {
  const three = { voters: [a, b, c], learners: [d] };
  t.equal(
    withPromotedLearner(three, peerStatus({ b: 1_200 }, ["d"])),
    undefined,
  );
  t.equal(
    withPromotedLearner(
      three,
      peerStatus({ b: 10 }, ["d"], { unheard: ["b"] }),
    ),
    undefined,
    "the leader has not heard it yet",
  );
  const answered = withPromotedLearner(three, peerStatus({ b: 600 }, ["d"]));
  t.equal(names(answered?.voters), "abcd");
  t.end();
});

test("no learner takes the place of a voter while too few others answer", (t) => {
  const three = { voters: [a, b, c], learners: [d] };
  const silent = peerStatus({ b: 2_000, c: 1_900 }, ["d"]);
  t.equal(withPromotedLearner(three, silent), undefined);
  t.end();
});

test("a voter that is about to stop is demoted only from an even number", (t) => {
  const four = { voters: [a, b, c, d], learners: [] };
  const peers = peerStatus({}, ["b"], { leaving: ["b"] });
  const without = withoutLeavingVoter(four, { identity: "b", peers });
  t.equal(names(without?.voters), "acd");
  t.equal(names(without?.learners), "b");
  t.equal(withPromotedLearner(without!, peers), undefined, "until it is back");
  t.equal(
    withPromotedLearner(without!, peerStatus({}, ["b"]))?.voters.length,
    4,
  );
  const three = { voters: [a, b, c], learners: [] };
  t.equal(withoutLeavingVoter(three, { identity: "b", peers }), undefined);
  t.equal(withoutLeavingVoter(four, { identity: "x", peers }), undefined);
  t.end();
});
