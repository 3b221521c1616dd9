import { test } from "tap";
import { isFirstChoice, type ServerState } from "./first_choice.ts";

const FREE: ServerState = {
  inFlight: 2,
  queued: 0,
  allowed: 14,
  report: { slowness: 1.1, ageMs: 20 },
  failureRatio: 0.05,
};

test("a server that is free, fast and without failures is the first choice", (t) => {
  t.ok(isFirstChoice(FREE));
  t.end();
});

test("other servers are considered unless the server is clearly free and fast", (t) => {
  const states: Partial<ServerState>[] = [
    { inFlight: 10 },
    { queued: 1 },
    { allowed: 3 },
    { report: { slowness: 3, ageMs: 20 } },
    { report: { slowness: 1, ageMs: 200 } },
    { report: undefined },
    { failureRatio: 0.3 },
  ];
  for (const state of states) {
    t.notOk(isFirstChoice({ ...FREE, ...state }), JSON.stringify(state));
  }
  t.end();
});
