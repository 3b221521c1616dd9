import { test } from "tap";
import { quorumSize, reachedByQuorum } from "./quorum.ts";

test("a quorum is more than half of the voters", (t) => {
  t.same([1, 2, 3, 4, 5].map(quorumSize), [1, 2, 2, 3, 3]);
  t.end();
});

test("the quorum's value is the highest that more than half of the voters have reached", (t) => {
  t.equal(reachedByQuorum([9, 1, 7]), 7);
  t.equal(reachedByQuorum([9, 1, 7, 5]), 5);
  t.equal(reachedByQuorum([3]), 3);
  t.equal(reachedByQuorum([]), 0);
  t.end();
});
