/**
 * Random schedules of faults in a control cluster. The invariants: no accepted
 * change is lost, each version has one change, and each term has one leader.
 */
import fc from "fast-check";
import { test } from "tap";
import { createHarness, type Harness } from "./harness.ts";

const RUNS = Number(process.env.RUNS ?? 60);
const SEED = Number(process.env.SEED ?? 20261204);
const REPLICAS = 3;

type Fault =
  | { kind: "change"; via: number }
  | { kind: "race"; one: number; other: number }
  | { kind: "kill" | "start" | "stop" | "freeze" | "thaw"; at: number }
  | { kind: "isolate" | "heal"; at: number }
  | { kind: "cut"; from: number; to: number }
  | { kind: "wipe"; at: number }
  | { kind: "duplicate"; on: boolean }
  | { kind: "jump"; ms: number }
  | { kind: "wait"; ms: number };

const replica = fc.integer({ min: 0, max: REPLICAS - 1 });
const faults: fc.Arbitrary<Fault[]> = fc.array(
  fc.oneof(
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constant("change" as const),
        via: replica,
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("race" as const),
        one: replica,
        other: replica,
      }),
    },
    {
      weight: 6,
      arbitrary: fc.record({
        kind: fc.constantFrom("kill", "start", "stop", "freeze", "thaw"),
        at: replica,
      }),
    },
    {
      weight: 3,
      arbitrary: fc.record({
        kind: fc.constantFrom("isolate", "heal"),
        at: replica,
      }),
    },
    {
      weight: 2,
      arbitrary: fc.record({
        kind: fc.constant("cut" as const),
        from: replica,
        to: replica,
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({ kind: fc.constant("wipe" as const), at: replica }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant("duplicate" as const),
        on: fc.boolean(),
      }),
    },
    {
      weight: 1,
      arbitrary: fc.record({
        kind: fc.constant("jump" as const),
        ms: fc.integer({ min: -1e6, max: 1e6 }),
      }),
    },
    {
      weight: 4,
      arbitrary: fc.record({
        kind: fc.constant("wait" as const),
        ms: fc.integer({ min: 1, max: 1_500 }),
      }),
    },
  ),
  { minLength: 5, maxLength: 30 },
);

function formatReplicaName(index: number): string {
  return `control${index + 1}`;
}

/** Injects one fault. At most one disk is wiped in a schedule. */
async function injectFault(
  harness: Harness,
  fault: Fault,
  state: { wiped: boolean },
): Promise<void> {
  const { cluster } = harness;
  switch (fault.kind) {
    case "change":
      await harness.change({
        via: formatReplicaName(fault.via),
        giveUpMs: 1_500,
      });
      return;
    case "race": {
      const against = Math.max(
        ...cluster.vms.map((vm) => vm.control.state.version),
      );
      await Promise.all([
        harness.change({
          against,
          via: formatReplicaName(fault.one),
          giveUpMs: 1_500,
        }),
        harness.change({
          against,
          via: formatReplicaName(fault.other),
          giveUpMs: 1_500,
        }),
      ]);
      return;
    }
    case "kill":
      cluster.kill(formatReplicaName(fault.at));
      return;
    case "start":
      if (!cluster.vm(formatReplicaName(fault.at)).alive) {
        await cluster.start(formatReplicaName(fault.at));
      }
      return;
    case "stop":
      if (cluster.vm(formatReplicaName(fault.at)).alive) {
        void cluster.stop(formatReplicaName(fault.at));
        await harness.timer.advance(3_000);
      }
      return;
    case "freeze":
      cluster.vm(formatReplicaName(fault.at)).freezer.freeze();
      return;
    case "thaw":
      cluster.vm(formatReplicaName(fault.at)).freezer.thaw();
      return;
    case "isolate":
    case "heal":
      harness.isolate(formatReplicaName(fault.at), fault.kind === "isolate");
      return;
    case "cut":
      harness.setLinkBlocked(
        formatReplicaName(fault.from),
        formatReplicaName(fault.to),
        true,
      );
      return;
    case "wipe":
      if (!state.wiped) {
        state.wiped = true;
        cluster.kill(formatReplicaName(fault.at));
        cluster.vm(formatReplicaName(fault.at)).disk.wipe();
      }
      return;
    case "duplicate": {
      const originalDecision = harness.rpc.decideDelivery;
      harness.rpc.decideDelivery = (message) => ({
        ...originalDecision(message),
        duplicated: fault.on,
      });
      return;
    }
    case "jump":
      harness.timer.jumpWallTime(fault.ms);
      return;
    case "wait":
      await harness.timer.advance(fault.ms);
  }
}

/** Ends all faults and waits until all replicas have the same log. */
async function recover(harness: Harness): Promise<void> {
  harness.healAll();
  for (const vm of [...harness.cluster.vms]) {
    vm.freezer.thaw();
  }
  // A stop that was interrupted by a freeze completes in this time.
  await harness.timer.advance(4_000);
  for (const vm of [...harness.cluster.vms]) {
    if (!harness.cluster.vm(vm.name).alive) {
      await harness.cluster.start(vm.name);
    }
  }
  await harness.waitForConvergence();
}

/** Runs a schedule and returns the violations of the invariants. */
async function runSchedule(
  seed: number,
  schedule: readonly Fault[],
): Promise<string[]> {
  const harness = createHarness({ seed, tuning: { snapshotEvery: 12 } });
  await harness.startCluster();
  const state = { wiped: false };
  for (const fault of schedule) {
    await injectFault(harness, fault, state);
  }
  await recover(harness);
  return harness.findViolations();
}

/** Schedules that failed before, with the failure that they reproduce. */
const REGRESSIONS: { failure: string; seed: number; schedule: Fault[] }[] = [
  {
    failure:
      "a replica accepted entries after a gap that were addressed to its predecessor",
    seed: 1,
    schedule: [
      { kind: "duplicate", on: true },
      { kind: "race", one: 0, other: 0 },
      { kind: "change", via: 1 },
      { kind: "change", via: 1 },
      { kind: "change", via: 1 },
      { kind: "wipe", at: 1 },
      { kind: "change", via: 0 },
      { kind: "wait", ms: 1 },
      { kind: "wait", ms: 1 },
    ],
  },
];

for (const { failure, seed, schedule } of REGRESSIONS) {
  test(`regression: ${failure}`, async (t) => {
    t.same(await runSchedule(seed, schedule), []);
  });
}

test(`random schedules of faults, seed ${SEED}, ${RUNS} runs`, async (t) => {
  const seeds = fc.integer({ min: 1, max: 1_000_000 });
  await fc.assert(
    fc.asyncProperty(seeds, faults, async (seed, schedule) => {
      const violations = await runSchedule(seed, schedule);
      if (violations.length > 0) {
        throw new Error(violations.join("; "));
      }
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: false },
  );
  t.pass("no schedule violated an invariant");
});
