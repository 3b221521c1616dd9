/**
 * Disks of control replicas that are full for seconds, one after another and
 * never two at once, while changes go on: soon after the last has room again,
 * every replica takes part and changes are accepted.
 */
import { test } from "tap";
import { createHarness, type Harness } from "./harness.ts";

const FIRST_SEED = 1;
const SEEDS = Number(process.env.FULL_DISK_SEEDS ?? 12);
const SPELLS = 6;
const MAX_SPELL_MS = 6_000;
const MAX_PAUSE_MS = 3_000;
const MAX_CUT_OFF_MS = 5_000;
/** Time after the last spell in which the cluster has to recover. */
const RECOVERY_MS = 5_000;
/** Bound on the reply to a change. */
const REPLY_LIMIT_MS = 4_000;

/** What happens to the replica whose disk is full. */
type Variant = "plain" | "killed" | "cut_off" | "refilled";
const VARIANTS: readonly Variant[] = [
  "plain",
  "killed",
  "cut_off",
  "refilled",
];

/** Sends changes until it is told to stop; many are left without a reply. */
function sendChanges(harness: Harness): () => void {
  let number = 0;
  const sending = harness.timer.every(200, () => {
    const live = harness.cluster.vms.filter((vm) => vm.alive);
    const via = live[harness.random.integer(live.length)];
    void harness.cluster.propose(
      { kind: "domain_out", domain: number % 2 === 0 ? "east" : "west" },
      { changeId: `load${number++}`, giveUpMs: 1_000, via: via.name },
    ).catch(() => {});
  });
  return () => sending.cancel();
}

/** Fills the disk of one replica for some seconds. */
async function runSpell(harness: Harness): Promise<void> {
  const { random, cluster, timer } = harness;
  const leads = random.fraction() < 0.5;
  const chosen = leads ? cluster.leader() : undefined;
  const { name } = chosen ?? cluster.vms[random.integer(cluster.vms.length)];
  const variant = VARIANTS[random.integer(VARIANTS.length)];
  if (variant === "cut_off") {
    // It misses so many changes that it is sent a snapshot.
    harness.isolate(name, true);
    await timer.advance(random.integer(MAX_CUT_OFF_MS));
    harness.isolate(name, false);
    await timer.advance(random.integer(400));
  }
  cluster.vm(name).disk.fill(random);
  await timer.advance(random.integer(MAX_SPELL_MS));
  if (variant === "killed") {
    cluster.kill(name);
    cluster.vm(name).disk.fill(random);
    await cluster.start(name);
    await timer.advance(random.integer(MAX_SPELL_MS));
  }
  if (variant === "refilled") {
    cluster.vm(name).disk.clearFailure();
    await timer.advance(random.integer(50));
    cluster.vm(name).disk.fill(random);
    await timer.advance(random.integer(MAX_SPELL_MS));
  }
  cluster.vm(name).disk.clearFailure();
}

for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
  test(`changes after disks that were full in turn, seed ${seed}`, async (t) => {
    const harness = createHarness({
      seed,
      replicas: seed % 2 === 0 ? 3 : 5,
      tuning: { snapshotEvery: 6, snapshotChunkBytes: 200 },
    });
    await harness.startCluster();
    const stopChanges = sendChanges(harness);
    for (let spell = 0; spell < SPELLS; spell++) {
      await runSpell(harness);
      await harness.timer.advance(harness.random.integer(MAX_PAUSE_MS));
    }
    stopChanges();
    await harness.timer.advance(RECOVERY_MS);
    const failed = harness.cluster.vms
      .map((vm) => vm.control.replica.status())
      .filter(({ role }) => role === "failed" || role === "starting")
      .map(({ identity, failure }) => `${identity}: ${failure}`);
    t.same(failed, [], "every replica takes part again");
    const sentAt = harness.timer.now();
    const result = await harness.change({ giveUpMs: REPLY_LIMIT_MS });
    t.equal(result?.kind, "accepted");
    t.ok(harness.timer.now() - sentAt <= REPLY_LIMIT_MS, "in time");
    t.same(harness.findViolations(), []);
  });
}

/** A replica that a snapshot reaches only in part. */
async function interruptSnapshot(
  harness: Harness,
  interrupt: (name: string) => Promise<void>,
): Promise<string> {
  await harness.startCluster();
  const leader = harness.cluster.leader()!.name;
  const { name } = harness.cluster.vms.find((vm) => vm.name !== leader)!;
  await harness.change();
  harness.isolate(name, true);
  for (let count = 0; count < 24; count++) {
    await harness.change();
  }
  // The snapshot still fits, but the shorter log that goes with it does not.
  const { disk } = harness.cluster.vm(name);
  disk.failFrom(disk.operations + 2, "no space left on device");
  harness.isolate(name, false);
  await harness.until(
    "the disk is full in the middle of the snapshot",
    () => harness.cluster.vm(name).control.replica.status().role === "failed",
  );
  await interrupt(name);
  harness.cluster.vm(name).disk.clearFailure();
  await harness.waitForConvergence();
  await harness.change();
  await harness.waitForConvergence();
  return name;
}

const SNAPSHOT_TUNING = { snapshotEvery: 6, snapshotChunkBytes: 200 };

test("a disk that is full in the middle of a snapshot, and full again later", async (t) => {
  const harness = createHarness({ seed: 4, tuning: SNAPSHOT_TUNING });
  const name = await interruptSnapshot(harness, async () => {});
  const { disk } = harness.cluster.vm(name);
  disk.fill(harness.random);
  await harness.change();
  await harness.timer.advance(2_000);
  disk.clearFailure();
  await harness.timer.advance(RECOVERY_MS);
  const { role, failure } = harness.cluster.vm(name).control.replica.status();
  t.equal(role, "follower", failure);
  t.same(harness.findViolations(), []);
});

test("a replica that is killed in the middle of a snapshot, and again later", async (t) => {
  const harness = createHarness({ seed: 5, tuning: SNAPSHOT_TUNING });
  const restart = async (name: string) => {
    harness.cluster.kill(name);
    harness.cluster.vm(name).disk.clearFailure();
    await harness.cluster.start(name);
  };
  const name = await interruptSnapshot(harness, restart);
  await restart(name);
  await harness.timer.advance(RECOVERY_MS);
  const { role, failure } = harness.cluster.vm(name).control.replica.status();
  t.equal(role, "follower", failure);
  t.same(harness.findViolations(), []);
});

for (const seed of [1, 2, 3, 4]) {
  test(`a disk that is full at the first start, seed ${seed}`, async (t) => {
    const harness = createHarness({ seed, replicas: seed % 2 === 0 ? 3 : 5 });
    const [{ name }] = harness.cluster.vms;
    harness.cluster.vm(name).disk.fill(harness.random);
    const started = harness.cluster.startAll();
    await harness.timer.advance(harness.random.integer(MAX_SPELL_MS));
    harness.cluster.vm(name).disk.clearFailure();
    await started;
    await harness.until(
      "a replica leads",
      () => harness.cluster.leader() !== undefined,
    );
    const result = await harness.change({ giveUpMs: REPLY_LIMIT_MS });
    t.equal(result?.kind, "accepted");
    await harness.waitForConvergence();
    t.same(harness.findViolations(), []);
  });

  test(`a full disk while another member is replaced, seed ${seed}`, async (t) => {
    const harness = createHarness({
      seed,
      replicas: 5,
      tuning: SNAPSHOT_TUNING,
    });
    await harness.startCluster();
    const stopChanges = sendChanges(harness);
    const leader = harness.cluster.leader()!.name;
    const [replaced, other] = harness.cluster.vms
      .map(({ name }) => name)
      .filter((name) => name !== leader);
    harness.cluster.kill(replaced);
    harness.cluster.vm(replaced).disk.wipe();
    await harness.cluster.start(replaced);
    await harness.timer.advance(harness.random.integer(500));
    const full = harness.cluster.vm(seed % 2 === 0 ? leader : other);
    full.disk.fill(harness.random);
    await harness.timer.advance(harness.random.integer(MAX_SPELL_MS));
    full.disk.clearFailure();
    stopChanges();
    await harness.timer.advance(RECOVERY_MS);
    const result = await harness.change({ giveUpMs: REPLY_LIMIT_MS });
    t.equal(result?.kind, "accepted");
    await harness.waitForConvergence();
    t.same(harness.findViolations(), []);
  });
}
