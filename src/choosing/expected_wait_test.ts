import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { type Candidate, createPolicy, policyNames } from "./mod.ts";

const IDLE: Candidate = {
  server: "",
  local: false,
  own: 0,
  reported: 0,
  queued: 0,
  allowed: 12,
  ageMs: 0,
  ownAtReport: 0,
  latencyMs: 5,
  slowness: 1,
  failures: 0,
};

/** Share of 1,000 choices that fall to the first candidate. */
function shareOfFirst(
  candidates: Partial<Candidate>[],
  staleAfterMs = 200,
  answerBytes = 0,
): number {
  const policy = createPolicy("expected_wait", {
    staleAfterMs: () => staleAfterMs,
  });
  const random = createSeededRandom(1);
  const all = candidates.map((one, index) => ({
    ...IDLE,
    server: `vm${index}`,
    ...one,
  }));
  let first = 0;
  for (let count = 0; count < 1_000; count++) {
    first += policy.choose(all, random, { answerBytes }) === all[0] ? 1 : 0;
  }
  return first / 1_000;
}

test("equal servers share the work", (t) => {
  const share = shareOfFirst([{}, {}]);
  t.ok(share > 0.4 && share < 0.6, String(share));
  t.end();
});

test("slow, failing, full and busy servers are avoided", (t) => {
  t.equal(shareOfFirst([{ latencyMs: 50 }, {}, {}]), 0);
  t.equal(shareOfFirst([{ failures: 0.5 }, {}]), 0);
  t.equal(shareOfFirst([{ own: 12 }, { own: 6 }]), 0);
  t.equal(shareOfFirst([{ reported: 12 }, {}]), 0);
  t.equal(shareOfFirst([{ allowed: 0 }, {}]), 0);
  t.end();
});

test("a report loses its weight with age, as fast as the site says", (t) => {
  const old = { reported: 12, ageMs: 2_000 };
  t.equal(shareOfFirst([old, {}], 1e9), 0, "it counts as long as it is fresh");
  t.ok(shareOfFirst([old, {}], 10) > 0.3, "and hardly once it is stale");
  t.end();
});

test("a local server is preferred until it fills up", (t) => {
  t.equal(shareOfFirst([{ local: true }, {}]), 1);
  t.equal(shareOfFirst([{ local: true, own: 9 }, { own: 5 }]), 0);
  t.end();
});

test("a long answer is fetched near by, unless that is slow or full", (t) => {
  const long = 90_000;
  const near = { local: true, own: 6 };
  const far = { own: 1 };
  t.equal(shareOfFirst([near, far], 200, 500), 0, "a short one is not");
  t.equal(shareOfFirst([near, far], 200, long), 1);
  t.equal(shareOfFirst([{ ...near, slowness: 5 }, far], 200, long), 0);
  t.equal(shareOfFirst([{ ...near, own: 10 }, far], 200, long), 0);
  t.end();
});

test("policies register by name, and an unknown one is an error", (t) => {
  t.ok(policyNames().includes("round_robin"));
  t.throws(
    () => createPolicy("none", { staleAfterMs: () => 1 }),
    /unknown policy/,
  );
  t.end();
});
