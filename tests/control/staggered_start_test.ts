/**
 * Replicas that start again one after another, beside machines that do not
 * answer: once a quorum runs, there is soon a leader, whatever the first ones
 * have asked in vain before.
 */
import { test } from "tap";
import { createHarness } from "./harness.ts";

const SEEDS = [1, 2, 3, 4, 5, 6];
const START_GAP_MS = 90;
/** Time from the start of a quorum to a leader. */
const LEADER_LIMIT_MS = 400;

for (const seed of SEEDS) {
  test(`a quorum that starts one by one, seed ${seed}`, async (t) => {
    const harness = createHarness({ seed, replicas: 5 });
    await harness.startCluster();
    const names = harness.cluster.vms.map(({ name }) => name);
    names.forEach((name) => harness.cluster.kill(name));
    // A machine without power does not even refuse a connection.
    const [dark, other, ...quorum] = names;
    harness.isolate(dark, true);
    harness.isolate(other, true);
    await harness.timer.advance(1_000);
    for (const name of quorum) {
      await harness.timer.advance(START_GAP_MS);
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
