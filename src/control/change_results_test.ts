import { test } from "tap";
import { prepareHashes } from "../core/hash.ts";
import { createChangeResults, MAX_CHANGE_RESULTS } from "./change_results.ts";
import type { ChangeResult } from "./commands.ts";
import { fakeChange } from "./fake_change.ts";

// Changes are stored with hashes, whose function loads asynchronously.
await prepareHashes();

function accepted(version: number): () => ChangeResult {
  return () => ({ kind: "accepted", version });
}

function failToDecide(): ChangeResult {
  throw new Error("the change was decided a second time");
}

test("a retry gets the first result, also after a restore from a snapshot", (t) => {
  const results = createChangeResults([]);
  results.decideOnce(fakeChange(), { version: 1, decide: accepted(2) });
  const restored = createChangeResults(results.entries());
  for (const copy of [results, restored]) {
    const again = copy.decideOnce(fakeChange({ wallTime: 9 }), {
      version: 5,
      decide: failToDecide,
    });
    t.same(again, { kind: "accepted", version: 2 });
  }
  t.end();
});

test("a change id that was used for another change is refused", (t) => {
  const results = createChangeResults([]);
  results.decideOnce(fakeChange(), { version: 1, decide: accepted(2) });
  const other = results.decideOnce(fakeChange({ force: true }), {
    version: 5,
    decide: failToDecide,
  });
  t.match(other, { kind: "refused", version: 5, reason: "change_id_reused" });
  t.match(results.get("one"), { kind: "accepted" });
  t.end();
});

test("the oldest results are dropped first", (t) => {
  const results = createChangeResults([]);
  for (let count = 0; count <= MAX_CHANGE_RESULTS; count++) {
    const change = fakeChange({ changeId: `change${count}` });
    results.decideOnce(change, { version: count, decide: accepted(count + 1) });
  }
  t.equal(results.entries().length, MAX_CHANGE_RESULTS);
  t.equal(results.get("change0"), undefined);
  t.match(results.get("change1"), { version: 2 });
  t.end();
});
