import { test } from "tap";
import { createFakeTimer } from "../time/fake_timer.ts";
import {
  createRateBudget,
  createRatioBudget,
  createServiceBudgets,
} from "./budget.ts";

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

test("the nodes share the fleet's reserve out", (t) => {
  const limits = {
    retry: { budget_ratio: 0.25, hedge_budget_ratio: 0.25, budget_reserve: 60 },
    fleetSize: 10,
  };
  const budgets = createServiceBudgets(() => limits);
  const { retry, hedge } = budgets.of("work");
  for (let count = 0; count < 100; count++) {
    budgets.of("work").deposit();
  }
  t.equal(takeAll(retry.take) + takeAll(hedge.take), 6, "a tenth of it");
  t.equal(budgets.of("work").retry, retry, "one budget for each service");
  budgets.of("work").deposit();
  t.notOk(retry.take(), "a quarter of a retry for one request");
  t.end();
});
