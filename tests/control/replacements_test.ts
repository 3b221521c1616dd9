/**
 * VMs with disks are replaced by empty ones one after the other. Guards against a
 * cluster that answers no order or read any more (review/7): voters that are gone
 * must not outnumber what the quorum spares, and one that only stands still or is
 * cut off keeps its vote, or gets it back.
 */
import { test } from "tap";
import { createHarness, type Harness } from "./harness.ts";

/** Time from the end of a VM to the start of its successor. */
const GONE_MS = 1_000;
/** Time that a successor is given before the next VM is replaced. */
const CATCH_UP_MS = 4_200;
/** Time in which a planned successor joins before the old VM stops. */
const PLANNED_MS = 2_000;
/** Founders join within this time. */
const SETTLE_MS = 5_000;

type Victim = "the leader" | "another";
type How = "killed" | "planned";

/** Starts a cluster of three founders, which other replicas join. */
async function startWithMembers(
  seed: number,
  members: number,
): Promise<Harness> {
  const harness = createHarness({ seed, replicas: 3 });
  await harness.startCluster();
  for (let number = 4; number <= members; number++) {
    await harness.cluster.add(`control${number}`);
  }
  await harness.timer.advance(SETTLE_MS);
  return harness;
}

function live(harness: Harness) {
  return harness.cluster.vms.filter(({ alive }) => alive);
}

function voters({ cluster }: Harness): string[] {
  return cluster.leader()?.control.replica.status().voters ?? [];
}

function chooseVictim(harness: Harness, victim: Victim): string {
  const leader = harness.cluster.leader()!;
  return victim === "the leader"
    ? leader.name
    : live(harness).find(({ name }) => name !== leader.name)!.name;
}

/** Replaces one VM, and gives the successor its time. */
async function replace(
  harness: Harness,
  { victim, how, successor }: { victim: Victim; how: How; successor: string },
): Promise<void> {
  const { cluster, timer } = harness;
  const name = chooseVictim(harness, victim);
  if (how === "killed") {
    cluster.kill(name);
    await timer.advance(GONE_MS);
    await cluster.add(successor);
  } else {
    await cluster.add(successor);
    await timer.advance(PLANNED_MS);
    const stopped = cluster.stop(name);
    await timer.advance(GONE_MS);
    await stopped;
  }
  await timer.advance(CATCH_UP_MS);
}

/** Restarts all on their disks; resolves once they have the same log again. */
async function restartAll(harness: Harness): Promise<void> {
  const names = live(harness).map(({ name }) => name);
  names.forEach((name) => harness.cluster.kill(name));
  await harness.timer.advance(GONE_MS);
  for (const name of names) {
    await harness.cluster.start(name);
  }
  await harness.until("all have the same log", () => {
    const statuses = live(harness).map(({ control }) =>
      control.replica.status()
    );
    return harness.cluster.leader() !== undefined &&
      new Set(statuses.map(({ commitIndex }) => commitIndex)).size === 1 &&
      statuses[0].commitIndex > 0;
  });
}

for (const members of [3, 5, 11]) {
  for (const victim of ["the leader", "another"] as const) {
    for (const how of ["killed", "planned"] as const) {
      test(`${members} replicas: ${victim} is replaced again and again, ${how}`, async (t) => {
        const harness = await startWithMembers(31 + members, members);
        t.equal(voters(harness).length, members, "all vote at first");
        for (let number = 0; number < members + 1; number++) {
          await replace(harness, { victim, how, successor: `spare${number}` });
          t.equal((await harness.change())?.kind, "accepted", `${number}`);
        }
        const running = live(harness).map(({ name }) => name);
        const gone = voters(harness).filter((identity) =>
          !running.some((name) => identity.startsWith(`${name}#`))
        );
        t.ok(gone.length <= 1, `${gone.length} voters are gone`);
        await restartAll(harness);
        t.equal((await harness.change())?.kind, "accepted", "after a restart");
        t.same(harness.findViolations(), []);
      });
    }
  }
}

test("a replica that stands still keeps its vote without a successor", async (t) => {
  const harness = await startWithMembers(51, 5);
  const name = chooseVictim(harness, "another");
  const { freezer } = harness.cluster.vm(name);
  freezer.freeze();
  await harness.timer.advance(10_000);
  t.equal(voters(harness).length, 5);
  freezer.thaw();
  await harness.timer.advance(2_000);
  t.equal((await harness.change())?.kind, "accepted");
  t.same(harness.findViolations(), []);
});

test("two replicas that are cut off together keep their votes", async (t) => {
  const harness = await startWithMembers(52, 5);
  const leader = harness.cluster.leader()!.name;
  const others = live(harness).map(({ name }) => name)
    .filter((name) => name !== leader);
  others.slice(0, 2).forEach((name) => harness.isolate(name, true));
  await harness.timer.advance(10_000);
  t.equal(voters(harness).length, 5);
  harness.healAll();
  // The side that was cut off decides with the leader alone.
  others.slice(2).forEach((name) => harness.isolate(name, true));
  await harness.timer.advance(4_000);
  t.equal((await harness.change())?.kind, "accepted");
  harness.healAll();
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});

test("a replica that stands still while others are replaced votes again", async (t) => {
  for (const sleepMs of [2_500, 8_000]) {
    const harness = await startWithMembers(53, 5);
    const { timer, cluster } = harness;
    const sleeper = chooseVictim(harness, "another");
    const { freezer } = cluster.vm(sleeper);
    for (let number = 0; number < 4; number++) {
      freezer.freeze();
      timer.after(sleepMs, freezer.thaw);
      await timer.advance(CATCH_UP_MS);
      await timer.advance(sleepMs);
      const victim = live(harness).find(({ name }) =>
        name !== sleeper && name !== cluster.leader()!.name
      )!;
      cluster.kill(victim.name);
      await timer.advance(GONE_MS);
      await cluster.add(`spare${number}`);
      await timer.advance(CATCH_UP_MS);
      t.equal((await harness.change())?.kind, "accepted", `${number}`);
    }
    await harness.until(
      "the one that stood still votes",
      () =>
        voters(harness).some((identity) => identity.startsWith(`${sleeper}#`)),
    );
    t.same(harness.findViolations(), []);
  }
});

test("a replica that stood still during a replacement cannot make an old majority", async (t) => {
  const harness = await startWithMembers(54, 5);
  const { timer, cluster } = harness;
  const sleeper = chooseVictim(harness, "another");
  const { freezer } = cluster.vm(sleeper);
  freezer.freeze();
  await timer.advance(1_500);
  await cluster.add("spare1");
  await timer.advance(3_000);
  t.equal((await harness.change())?.kind, "accepted");
  // Only replicas of the first membership are left to each other.
  freezer.thaw();
  await restartAll(harness);
  t.equal((await harness.change())?.kind, "accepted");
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});

test("a replica that was away for minutes, and was removed, votes again", async (t) => {
  const harness = await startWithMembers(55, 5);
  const { timer, cluster } = harness;
  const away = chooseVictim(harness, "another");
  harness.isolate(away, true);
  await timer.advance(1_500);
  await cluster.add("spare1");
  await timer.advance(130_000);
  const status = cluster.leader()!.control.replica.status();
  t.notOk(
    [...status.voters, ...status.learners].some((identity) =>
      identity.startsWith(`${away}#`)
    ),
  );
  harness.healAll();
  await harness.until(
    "it votes again",
    () => voters(harness).some((identity) => identity.startsWith(`${away}#`)),
  );
  t.equal((await harness.change())?.kind, "accepted");
  t.same(harness.findViolations(), []);
});

/** Faults of one VM, each followed by the time that a successor is given. */
const FAULTS: Record<
  string,
  (harness: Harness, name: string, successor: string) => Promise<void>
> = {
  async "killed and replaced"({ cluster, timer }, name, successor) {
    cluster.kill(name);
    await timer.advance(GONE_MS);
    await cluster.add(successor);
  },
  async "replaced as planned"({ cluster, timer }, name, successor) {
    await cluster.add(successor);
    await timer.advance(PLANNED_MS);
    const stopped = cluster.stop(name);
    await timer.advance(GONE_MS);
    await stopped;
  },
  async "restarted on its disk"({ cluster, timer }, name) {
    cluster.kill(name);
    await timer.advance(GONE_MS);
    await cluster.start(name);
  },
  async "stands still"({ cluster, timer }, name) {
    const { freezer } = cluster.vm(name);
    freezer.freeze();
    await timer.advance(2 * GONE_MS);
    freezer.thaw();
  },
  async "is cut off"(harness, name) {
    harness.isolate(name, true);
    await harness.timer.advance(2 * GONE_MS);
    harness.healAll();
  },
};

for (const members of [3, 5]) {
  for (const seed of [61, 62, 63, 64, 65, 66, 67, 68]) {
    test(`${members} replicas: one fault after the other, seed ${seed}`, async (t) => {
      const harness = await startWithMembers(seed, members);
      const { random, timer } = harness;
      const trail: string[] = [];
      for (let step = 0; step < 10; step++) {
        const names = live(harness).map(({ name }) => name);
        const name = names[random.integer(names.length)];
        const kinds = Object.keys(FAULTS);
        const kind = kinds[random.integer(kinds.length)];
        trail.push(`${name} ${kind}`);
        await FAULTS[kind](harness, name, `spare${step}`);
        await timer.advance(CATCH_UP_MS);
        t.equal((await harness.change())?.kind, "accepted", trail.join(", "));
      }
      await restartAll(harness);
      t.equal((await harness.change())?.kind, "accepted", "after a restart");
      t.same(harness.findViolations(), [], trail.join(", "));
    });
  }
}
