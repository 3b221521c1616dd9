import { test } from "tap";
import { quorumOf, reachedByQuorum } from "./quorum.ts";

test("more than half of the voters decide", (t) => {
  t.same([1, 2, 3, 4, 5].map(quorumOf), [1, 2, 2, 3, 3]);
  t.end();
});

test("a quorum has reached what all but a minority have", (t) => {
  t.equal(reachedByQuorum([9, 1, 7]), 7);
  t.equal(reachedByQuorum([9, 1, 7, 5]), 5);
  t.equal(reachedByQuorum([3]), 3);
  t.equal(reachedByQuorum([]), 0);
  t.end();
});
