import { test } from "tap";
import type { Candidate } from "../choosing/mod.ts";
import { createSeededRandom } from "../core/random.ts";
import { firstFreeOfFull, isKnownFull } from "./fleet_state.ts";

const FULL: Candidate = {
  server: "",
  local: false,
  own: 0,
  reported: 14,
  queued: 4,
  allowed: 14,
  ageMs: 20,
  ownAtReport: 0,
  latencyMs: 60,
  slowness: 1,
  failures: 0,
};
const choice = { usualMs: () => 60, random: createSeededRandom(1) };

test("full is what a fresh report says; what is old or has room is not", (t) => {
  t.ok(isKnownFull(FULL));
  t.ok(isKnownFull({ ...FULL, reported: 2, queued: 0, slowness: 5 }));
  t.notOk(isKnownFull({ ...FULL, reported: 13, queued: 0 }));
  t.notOk(isKnownFull({ ...FULL, ageMs: 500 }), "it may have become free");
  t.notOk(isKnownFull({ ...FULL, ageMs: Infinity }), "nothing is known");
  t.end();
});

test("one server that may have room is enough to look for it", (t) => {
  const old = { ...FULL, server: "old", ageMs: 500 };
  t.equal(firstFreeOfFull([FULL, old], choice), undefined);
  t.equal(firstFreeOfFull([], choice), undefined);
  t.end();
});

test("of full servers the one with the shortest wait is first", (t) => {
  const long = { ...FULL, server: "long", queued: 20 };
  const short = { ...FULL, server: "short", queued: 1 };
  const sent = { ...short, server: "sent", own: 12 };
  const slow = { ...FULL, server: "slow", reported: 1, slowness: 5 };
  const first = firstFreeOfFull([long, sent, slow, short], choice);
  t.equal(first?.server, "short");
  const failing = { ...short, server: "failing", queued: 0, failures: 0.6 };
  t.equal(firstFreeOfFull([failing, short], choice)?.server, "short");
  t.end();
});
