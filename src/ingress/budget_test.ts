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

test("a ratio budget has initial tokens once its ratio is known", (t) => {
  let ratio = 0;
  const budget = createRatioBudget(() => ratio);
  t.equal(
    takeAll(budget.take),
    0,
    "there are no tokens while the ratio is unknown",
  );
  // Multiples of 0.25 are exact in floating point.
  ratio = 0.25;
  t.equal(takeAll(budget.take), 10, "the initial tokens");
  for (let count = 0; count < 20; count++) {
    budget.deposit();
  }
  t.equal(takeAll(budget.take), 5, "then one token for four requests");
  t.end();
});

test("a rate budget allows no more than its rate", async (t) => {
  const timer = createFakeTimer();
  const budget = createRateBudget(timer, () => 2);
  t.equal(takeAll(budget.take), 0);
  await timer.advance(500);
  t.equal(takeAll(budget.take), 1);
  await timer.advance(60_000);
  t.equal(
    takeAll(budget.take),
    2,
    "tokens are not saved up for more than one second",
  );
});

test("each node has an equal share of the fleet's reserve", (t) => {
  const limits = {
    retry: { budget_ratio: 0.25, hedge_budget_ratio: 0.25, budget_reserve: 60 },
    fleetSize: 10,
  };
  const budgets = createServiceBudgets(() => limits);
  const { retry, hedge } = budgets.of("work");
  for (let count = 0; count < 100; count++) {
    budgets.of("work").deposit();
  }
  t.equal(
    takeAll(retry.take) + takeAll(hedge.take),
    6,
    "one of ten nodes has a tenth of the reserve",
  );
  t.equal(budgets.of("work").retry, retry, "one budget for each service");
  budgets.of("work").deposit();
  t.notOk(retry.take(), "one request earns only a quarter of a token");
  t.end();
});
