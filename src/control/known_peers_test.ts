import { test } from "tap";
import { fakeReplica } from "./fake_replica.ts";
import { createKnownPeers } from "./known_peers.ts";

const [a, b, c] = ["a", "b", "c"].map((vm) => fakeReplica(vm));

test("members come first, then replicas that peers reported, then the founders", (t) => {
  const peers = createKnownPeers({
    founders: { a: "a:1", d: "d:1" },
    membership: () => ({ voters: [b], learners: [c] }),
  });
  t.same(peers.addresses(), ["b:1", "c:1", "a:1", "d:1"]);
  peers.add({ voters: [a, c], learners: [fakeReplica("e")] });
  t.same(peers.addresses(), ["b:1", "c:1", "a:1", "e:1", "d:1"]);
  t.end();
});
