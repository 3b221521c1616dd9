import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createRateBudget, createRatioBudget } from "./budget.ts";

function takeAll(take: () => boolean): number {
  let count = 0;
  while (take()) {
    count++;
  }
  return count;
}

test("a ratio budget has a reserve once its ratio is known", (t) => {
  let ratio = 0;
  const budget = createRatioBudget(() => ratio);
  t.equal(takeAll(budget.take), 0, "no settings, no extra work");
  // A quarter adds up exactly in binary numbers.
  ratio = 0.25;
  t.equal(takeAll(budget.take), 10, "the reserve");
  for (let count = 0; count < 20; count++) {
    budget.deposit();
  }
  t.equal(takeAll(budget.take), 5, "then a quarter of the ordinary work");
  t.end();
});

test("a rate budget allows no more than its rate", async (t) => {
  const timer = createFakeTimer();
  const budget = createRateBudget(timer, () => 2);
  t.equal(takeAll(budget.take), 0);
  await timer.advance(500);
  t.equal(takeAll(budget.take), 1);
  await timer.advance(60_000);
  t.equal(takeAll(budget.take), 2, "idle time is not saved up");
});
