import { test } from "tap";
import { prepareHashes } from "../core/hash.ts";
import { silentLogger } from "../core/logger.ts";
import { createSeededRandom } from "../core/random.ts";
import { createSupervisor } from "../core/tasks.ts";
import { createFakeDisk } from "../disk/fake_disk.ts";
import { createFakeRpcNetwork } from "../rpc/fake_rpc.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { nullMachine } from "./fake_log.ts";
import { createReplica } from "./replica.ts";

// Checksums of the first record already need the hash functions.
await prepareHashes();

const ADDRESS = "a:1";
/** Time within which the only replica of a cluster leads. */
const LEADS_WITHIN_MS = 2_000;

/** Creates a replica that is the only one of its cluster. */
function build(disk = createFakeDisk()) {
  const timer = createFakeTimer();
  const replica = createReplica({
    vm: "a",
    address: ADDRESS,
    founders: { a: ADDRESS },
    machine: nullMachine,
    disk,
    rpc: createFakeRpcNetwork(timer, 1).from(ADDRESS),
    timer,
    random: createSeededRandom(1),
    logger: silentLogger,
    supervisor: createSupervisor({ timer, report: () => {} }),
  });
  return { timer, disk, replica };
}

test("a replica whose disk failed leads again once the disk is repaired", async (t) => {
  const { timer, disk, replica } = build();
  await replica.start();
  await timer.advance(LEADS_WITHIN_MS);
  t.match(replica.status(), { role: "leader", failure: "" });
  disk.failFrom(disk.operations + 1, "no space left on device");
  const proposed = replica.propose({});
  await timer.advance(10);
  t.match((await proposed)._unsafeUnwrapErr(), { reason: "unknown" });
  t.match(replica.status(), { role: "failed", failure: /no space left/ });
  disk.clearFailure();
  await timer.advance(LEADS_WITHIN_MS + 1_000);
  t.match(replica.status(), { role: "leader", failure: "" });
});

test("a replica whose disk is damaged stays failed", async (t) => {
  const first = build();
  await first.replica.start();
  await first.timer.advance(LEADS_WITHIN_MS);
  await first.replica.stop();
  first.disk.corrupt("vote", 9);
  const second = build(first.disk.reopen());
  await second.replica.start();
  await second.timer.advance(10_000);
  t.match(second.replica.status(), { role: "failed", failure: /damaged/ });
});
