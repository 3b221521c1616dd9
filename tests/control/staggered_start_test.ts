/**
 * Replicas that start again one after another, beside machines that do not
 * answer: once a quorum runs, there is soon a leader, whatever the first ones
 * have asked in vain before.
 */
import { test } from "tap";
import { createHarness, type Harness } from "./harness.ts";

const SEEDS = [1, 2, 3, 4, 5, 6];
const START_GAP_MS = 90;
/** One way of a slow question; both together are within a call's timeout. */
const SLOW_HELLO_MS = 220;
/** Time from the start of a quorum to a leader. */
const LEADER_LIMIT_MS = 400;

/** Blocks or restores both directions of the links between two groups. */
function setBlocked(
  harness: Harness,
  { one, others, blocked }: {
    one: string;
    others: readonly string[];
    blocked: boolean;
  },
): void {
  for (const other of others) {
    harness.setLinkBlocked(one, other, blocked);
    harness.setLinkBlocked(other, one, blocked);
  }
}

for (const seed of SEEDS) {
  // A machine without power does not even refuse a connection.
  for (const before of ["refuse", "do not answer"]) {
    const title = `peers that ${before} before they start, seed ${seed}`;
    test(`a quorum that starts one by one, ${title}`, async (t) => {
      const harness = createHarness({ seed, replicas: 5 });
      await harness.startCluster();
      const names = harness.cluster.vms.map(({ name }) => name);
      names.forEach((name) => harness.cluster.kill(name));
      const [dark, other, ...quorum] = names;
      const unpowered = before === "refuse" ? [dark, other] : names;
      unpowered.forEach((one) =>
        setBlocked(harness, { one, others: names, blocked: true })
      );
      await harness.timer.advance(1_000);
      const started: string[] = [];
      for (const name of quorum) {
        await harness.timer.advance(START_GAP_MS);
        setBlocked(harness, { one: name, others: started, blocked: false });
        started.push(name);
        await harness.cluster.start(name);
      }
      const startedAt = harness.timer.now();
      await harness.until(
        "there is a leader",
        () => harness.cluster.leader() !== undefined,
      );
      const ms = harness.timer.now() - startedAt;
      t.ok(ms <= LEADER_LIMIT_MS, `a leader after ${ms} ms`);
      harness.healAll();
      await harness.cluster.start(dark);
      await harness.cluster.start(other);
      await harness.waitForConvergence();
      t.same(harness.findViolations(), []);
    });
  }
}

test("replicas that answer slowly hear that their disks are current", async (t) => {
  const harness = createHarness({ seed: 7, replicas: 3 });
  await harness.startCluster();
  const names = harness.cluster.vms.map(({ name }) => name);
  names.forEach((name) => harness.cluster.kill(name));
  const decide = harness.rpc.decideDelivery;
  harness.rpc.decideDelivery = (message) => ({
    ...decide(message),
    delayMs: message.method === "hello" ? SLOW_HELLO_MS : 1,
  });
  for (const name of names) {
    await harness.cluster.start(name);
  }
  await harness.until(
    "there is a leader",
    () => harness.cluster.leader() !== undefined,
  );
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});
