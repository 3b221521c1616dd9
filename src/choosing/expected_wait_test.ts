import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { type Candidate, createPolicy, policyNames } from "./mod.ts";

const IDLE: Candidate = {
  server: "",
  sameDomain: false,
  ownInFlight: 0,
  reportedInFlight: 0,
  queued: 0,
  allowed: 12,
  reportAgeMs: 0,
  ownInFlightAtReport: 0,
  latencyMs: 5,
  slowness: 1,
  failureRate: 0,
};

/** Returns the share of 1,000 choices that select the first candidate. */
function shareOfFirst(
  candidates: Partial<Candidate>[],
  staleAfterMs = 200,
  answerBytes = 0,
): number {
  const policy = createPolicy("expected_wait", {
    staleAfterMs: () => staleAfterMs,
  });
  const random = createSeededRandom(1);
  const all = candidates.map((overrides, index) => ({
    ...IDLE,
    server: `vm${index}`,
    ...overrides,
  }));
  let first = 0;
  for (let count = 0; count < 1_000; count++) {
    first += policy.choose(all, random, { answerBytes }) === all[0] ? 1 : 0;
  }
  return first / 1_000;
}

test("equal servers receive about equal shares of requests", (t) => {
  const share = shareOfFirst([{}, {}]);
  t.ok(share > 0.4 && share < 0.6, String(share));
  t.end();
});

test("slow, failing, full and busy servers are not chosen", (t) => {
  t.equal(shareOfFirst([{ latencyMs: 50 }, {}, {}]), 0);
  t.equal(shareOfFirst([{ failureRate: 0.5 }, {}]), 0);
  t.equal(shareOfFirst([{ ownInFlight: 12 }, { ownInFlight: 6 }]), 0);
  t.equal(shareOfFirst([{ reportedInFlight: 12 }, {}]), 0);
  t.equal(shareOfFirst([{ allowed: 0 }, {}]), 0);
  t.end();
});

test("the weight of a report falls with age at the configured rate", (t) => {
  const old = { reportedInFlight: 12, reportAgeMs: 2_000 };
  t.equal(
    shareOfFirst([old, {}], 1e9),
    0,
    "a fresh report of a busy server rules it out",
  );
  t.ok(shareOfFirst([old, {}], 10) > 0.3, "a stale report hardly matters");
  t.end();
});

test("a server in the same domain is preferred until it is busy", (t) => {
  t.equal(shareOfFirst([{ sameDomain: true }, {}]), 1);
  t.equal(
    shareOfFirst([{ sameDomain: true, ownInFlight: 9 }, { ownInFlight: 5 }]),
    0,
  );
  t.end();
});

test("a long answer comes from the same domain unless its server is slow or full", (t) => {
  const long = 90_000;
  const near = { sameDomain: true, ownInFlight: 6 };
  const far = { ownInFlight: 1 };
  t.equal(
    shareOfFirst([near, far], 200, 500),
    0,
    "a short answer comes from the less loaded server",
  );
  t.equal(shareOfFirst([near, far], 200, long), 1);
  t.equal(shareOfFirst([{ ...near, slowness: 5 }, far], 200, long), 0);
  t.equal(shareOfFirst([{ ...near, ownInFlight: 10 }, far], 200, long), 0);
  t.end();
});

test("policies are found by name, and an unknown name is an error", (t) => {
  t.ok(policyNames().includes("round_robin"));
  t.throws(
    () => createPolicy("none", { staleAfterMs: () => 1 }),
    /unknown policy/,
  );
  t.end();
});
