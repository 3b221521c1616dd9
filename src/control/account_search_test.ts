import { test } from "tap";
import { createArchive } from "../account/archive.ts";
import { eventSchema } from "../account/events.ts";
import { prepareHashes } from "../core/hash.ts";
import { silentLogger } from "../core/logger.ts";
import { createFakeDisk } from "../disk/fake_disk.ts";
import { createFakeRpcNetwork } from "../rpc/fake_rpc.ts";
import { siteSchema } from "../settings/site.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { createAccountSearch } from "./account_search.ts";
import { fakeChange } from "./fake_change.ts";
import { findMethod } from "./node_methods.ts";
import { createControlState } from "./state.ts";

// Changes are stored with hashes, whose function loads asynchronously.
await prepareHashes();

function event(wallTime: number) {
  return eventSchema.parse({
    wallTime,
    kind: "crash",
    source: "vm1",
    version: 1,
    server: "vm1",
  });
}

async function build() {
  const timer = createFakeTimer();
  const network = createFakeRpcNetwork(timer, 1);
  const state = createControlState();
  const site = siteSchema.parse({
    name: "lab",
    domains: ["east"],
    services: {},
  });
  const changes = [
    fakeChange({ action: { kind: "configure", site } }),
    fakeChange({ changeId: "two", wallTime: 9 }),
  ];
  changes.forEach((command, at) =>
    state.apply({ index: at + 1, logTime: 0, command })
  );
  const archive = createArchive({
    disk: createFakeDisk(),
    logger: silentLogger,
    timer,
    segmentBytes: 1_000_000,
  });
  void archive.add([event(2)]);
  await timer.advance(1);
  const peer = network.from("b:1");
  peer.handle(
    findMethod,
    () => Promise.resolve({ events: [event(1)], changes: [], dropped: 3 }),
  );
  await peer.listen("b:1");
  const search = createAccountSearch({
    state,
    archive,
    rpc: network.from("a:1"),
    peers: () => ["b:1", "c:1"],
  });
  return { timer, search };
}

test("an account has the events of all replicas and lists those that did not answer", async (t) => {
  const { timer, search } = await build();
  const found = search.find({ server: "vm1" });
  await timer.advance(1_000);
  const { events, dropped, missing } = await found;
  t.same(events.map((one) => one.wallTime), [1, 2]);
  t.equal(dropped, 3);
  t.same(missing, ["c:1"]);
});

test("changes are filtered by target and time, and left out for a single request", async (t) => {
  const { search } = await build();
  const byDomain = await search.findLocally({ domain: "east" });
  t.same(byDomain.changes.map((one) => one.changeId), ["two"]);
  const early = await search.findLocally({ until: 5 });
  t.same(early.changes.map((one) => one.changeId), ["one"]);
  const byRequest = await search.findLocally({ requestId: "r" });
  t.same(byRequest.changes, []);
});
