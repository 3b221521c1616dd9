import { test } from "tap";
import { createSeededRandom } from "../core/random.ts";
import { createSpentTime } from "./spent_time.ts";

test("what callers tell at first is known from those that come again", (t) => {
  const random = createSeededRandom(1);
  const spent = createSpentTime();
  t.equal(spent.before("look", 700), 0, "nothing is known");
  for (let count = 0; count < 500; count++) {
    spent.before("look", 1_200);
    spent.before("look", 100 + 1_000 * random.fraction());
  }
  t.equal(spent.before("look", 1_200), 0);
  t.equal(spent.before("look", 700), 500);
  t.equal(spent.before("look", 1_500), 0, "it has more than usual");
  t.equal(spent.before("pay", 700), 0, "another kind is unknown");
  t.end();
});

test("callers of one kind may have different times", (t) => {
  const spent = createSpentTime();
  for (let count = 0; count < 200; count++) {
    spent.before("look", 1_200);
    spent.before("look", count % 4 === 0 ? 600 : 1_200);
  }
  t.equal(spent.before("look", 600), 0);
  t.equal(spent.before("look", 590), 10);
  t.equal(spent.before("look", 900), 300);
  t.end();
});
