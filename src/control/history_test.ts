import { test } from "tap";
import { fakeChange } from "./fake_change.ts";
import { createHistory, MAX_HISTORY } from "./history.ts";

function empty() {
  return createHistory({ version: 0, number: 0, history: [] });
}

test("of two changes based on one version the first is accepted", (t) => {
  const history = empty();
  const first = fakeChange({ against: 0 });
  t.equal(history.conflict(first), undefined);
  t.same(history.accept(first, []), { kind: "accepted", version: 1 });
  const second = fakeChange({ changeId: "two", against: 0 });
  t.match(history.conflict(second), {
    kind: "conflict",
    version: 1,
    winner: { changeId: "one", target: "east" },
  });
  t.equal(history.conflict(fakeChange({ changeId: "any" })), undefined);
  t.end();
});

test("an operator's number that does not follow the current one is a conflict", (t) => {
  const history = empty();
  const first = fakeChange({ numbering: { after: 0, to: 7 } });
  history.accept(first, []);
  t.equal(history.number, 7);
  t.match(history.conflict(first), { kind: "conflict", winner: undefined });
  const next = fakeChange({ numbering: { after: 7, to: 8 } });
  t.equal(history.conflict(next), undefined);
  t.end();
});

test("the history is bounded while the version keeps increasing", (t) => {
  const history = empty();
  for (let count = 0; count <= MAX_HISTORY; count++) {
    history.accept(fakeChange(), []);
  }
  t.equal(history.changes.length, MAX_HISTORY);
  t.equal(history.version, MAX_HISTORY + 1);
  t.equal(history.changes[0].version, 2);
  t.end();
});
