import { test } from "tap";
import type { Candidate } from "../choosing/mod.ts";
import { createSeededRandom } from "../core/random.ts";
import { findEarliestOfFull, isReportedFull } from "./fleet_state.ts";

const FULL: Candidate = {
  server: "",
  sameDomain: false,
  ownInFlight: 0,
  reportedInFlight: 14,
  queued: 4,
  allowed: 14,
  reportAgeMs: 20,
  ownInFlightAtReport: 0,
  latencyMs: 60,
  slowness: 1,
  failureRate: 0,
};
const choice = { usualWorkMs: () => 60, random: createSeededRandom(1) };

test("a server is full only if a fresh report shows it", (t) => {
  t.ok(isReportedFull(FULL));
  t.ok(
    isReportedFull({ ...FULL, reportedInFlight: 2, queued: 0, slowness: 5 }),
  );
  t.notOk(isReportedFull({ ...FULL, reportedInFlight: 13, queued: 0 }));
  t.notOk(
    isReportedFull({ ...FULL, reportAgeMs: 500 }),
    "a server with an old report may have capacity again",
  );
  t.notOk(
    isReportedFull({ ...FULL, reportAgeMs: Infinity }),
    "a server without a report may have capacity",
  );
  t.end();
});

test("no full server is chosen while one may have capacity", (t) => {
  const old = { ...FULL, server: "old", reportAgeMs: 500 };
  t.equal(findEarliestOfFull([FULL, old], choice), undefined);
  t.equal(findEarliestOfFull([], choice), undefined);
  t.end();
});

test("the full server with the lowest cost is chosen", (t) => {
  const long = { ...FULL, server: "long", queued: 20 };
  const short = { ...FULL, server: "short", queued: 1 };
  const sent = { ...short, server: "sent", ownInFlight: 12 };
  const slow = { ...FULL, server: "slow", reportedInFlight: 1, slowness: 5 };
  const first = findEarliestOfFull([long, sent, slow, short], choice);
  t.equal(first?.server, "short");
  const failing = { ...short, server: "failing", queued: 0, failureRate: 0.6 };
  t.equal(findEarliestOfFull([failing, short], choice)?.server, "short");
  t.end();
});
