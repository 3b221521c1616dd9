import { test } from "tap";
import { prepareHashes } from "../core/hash.ts";
import { createFakeDisk } from "../disk/fake_disk.ts";
import { createTermState } from "./term_state.ts";
import { createLogStore } from "./log_store.ts";

// Checksums of the first record already need the hash functions.
await prepareHashes();

function build() {
  const disk = createFakeDisk();
  const store = createLogStore(disk);
  const reported: string[] = [];
  const termState = createTermState({
    store,
    onNewerTerm: () => reported.push("newer term"),
    onFailure: () => reported.push("failure"),
  });
  return { disk, store, reported, termState };
}

test("a newer term clears the vote, the same term changes nothing", async (t) => {
  const { store, reported, termState } = build();
  await termState.save({ term: 2, votedFor: "a" });
  await termState.adopt(2);
  t.match(termState, { term: 2, votedFor: "a" });
  t.same(reported, []);
  await termState.adopt(3);
  t.match(termState, { term: 3, votedFor: "" });
  t.same(reported, ["newer term"]);
  t.same((await store.recover()).vote, { term: 3, votedFor: "" });
});

test("a vote that could not be written is not counted as given", async (t) => {
  const { disk, reported, termState } = build();
  disk.failFrom(1, "no space left on device");
  await t.rejects(termState.save({ term: 2, votedFor: "a" }), /no space left/);
  t.match(termState, { term: 0, votedFor: "" });
  t.same(reported, ["failure"]);
});
