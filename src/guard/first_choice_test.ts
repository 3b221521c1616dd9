import { test } from "tap";
import { isFirstChoice, type ServerMoment } from "./first_choice.ts";

const FREE: ServerMoment = {
  inFlight: 2,
  queued: 0,
  allowed: 14,
  report: { slowness: 1.1, ageMs: 20 },
  failingShare: 0.05,
};

test("a free, fast and sound server is the first choice", (t) => {
  t.ok(isFirstChoice(FREE));
  t.end();
});

test("others are looked at once the server is not surely better", (t) => {
  const moments: Partial<ServerMoment>[] = [
    { inFlight: 10 },
    { queued: 1 },
    { allowed: 3 },
    { report: { slowness: 3, ageMs: 20 } },
    { report: { slowness: 1, ageMs: 200 } },
    { report: undefined },
    { failingShare: 0.3 },
  ];
  for (const moment of moments) {
    t.notOk(isFirstChoice({ ...FREE, ...moment }), JSON.stringify(moment));
  }
  t.end();
});
