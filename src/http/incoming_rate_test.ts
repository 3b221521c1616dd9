import { test } from "tap";
import { createIncomingRate } from "./incoming_rate.ts";

test("a request that comes byte by byte is slow after some seconds", (t) => {
  const rate = createIncomingRate();
  t.equal(rate.isSlow(10_000), false, "nothing has come");
  rate.note(1, 10_000);
  t.equal(rate.isSlow(12_900), false);
  rate.note(1, 13_000);
  t.equal(rate.isSlow(13_000), true);
  rate.complete();
  rate.note(1, 13_100);
  t.equal(rate.isSlow(14_000), false, "the next request");
  t.end();
});

test("a long upload over a narrow link is not slow", (t) => {
  const rate = createIncomingRate();
  for (let second = 0; second < 60; second++) {
    rate.note(4_096, second * 1_000);
  }
  t.equal(rate.isSlow(60_000), false);
  t.end();
});
