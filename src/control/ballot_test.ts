import { test } from "tap";
import { prepareHashes } from "../core/hash.ts";
import { createFakeDisk } from "../disk/fake_disk.ts";
import { createBallot } from "./ballot.ts";
import { createLogStore } from "./log_store.ts";

// Hashes are used from the first record on.
await prepareHashes();

function build() {
  const disk = createFakeDisk();
  const store = createLogStore(disk);
  const told: string[] = [];
  const ballot = createBallot({
    store,
    onNewerTerm: () => told.push("newer term"),
    onFailure: () => told.push("failure"),
  });
  return { disk, store, told, ballot };
}

test("a newer term takes the vote back, an older one changes nothing", async (t) => {
  const { store, told, ballot } = build();
  await ballot.save({ term: 2, votedFor: "a" });
  await ballot.adopt(2);
  t.match(ballot, { term: 2, votedFor: "a" });
  t.same(told, []);
  await ballot.adopt(3);
  t.match(ballot, { term: 3, votedFor: "" });
  t.same(told, ["newer term"]);
  t.same((await store.recover()).vote, { term: 3, votedFor: "" });
});

test("a vote that is not durable was not given", async (t) => {
  const { disk, told, ballot } = build();
  disk.failFrom(1, "no space left on device");
  await t.rejects(ballot.save({ term: 2, votedFor: "a" }), /no space left/);
  t.match(ballot, { term: 0, votedFor: "" });
  t.same(told, ["failure"]);
});
