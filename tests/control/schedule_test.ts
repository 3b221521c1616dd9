/**
 * Random schedules of faults against control: no accepted change is lost, one
 * change wins each number, and one replica leads in each term.
 */
import fc from "fast-check";
import { test } from "tap";
import { createLab, type Lab } from "./lab.ts";

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

function nameOf(index: number): string {
  return `control${index + 1}`;
}

/** Lets one fault happen. At most one disk is lost in a schedule. */
async function happen(
  lab: Lab,
  fault: Fault,
  state: { wiped: boolean },
): Promise<void> {
  const { cluster } = lab;
  switch (fault.kind) {
    case "change":
      await lab.change({ via: nameOf(fault.via), giveUpMs: 1_500 });
      return;
    case "race": {
      const against = Math.max(
        ...cluster.vms.map((vm) => vm.control.state.version),
      );
      await Promise.all([
        lab.change({ against, via: nameOf(fault.one), giveUpMs: 1_500 }),
        lab.change({ against, via: nameOf(fault.other), giveUpMs: 1_500 }),
      ]);
      return;
    }
    case "kill":
      cluster.kill(nameOf(fault.at));
      return;
    case "start":
      if (!cluster.vm(nameOf(fault.at)).alive) {
        await cluster.start(nameOf(fault.at));
      }
      return;
    case "stop":
      if (cluster.vm(nameOf(fault.at)).alive) {
        void cluster.stop(nameOf(fault.at));
        await lab.timer.advance(3_000);
      }
      return;
    case "freeze":
      cluster.vm(nameOf(fault.at)).freezer.freeze();
      return;
    case "thaw":
      cluster.vm(nameOf(fault.at)).freezer.thaw();
      return;
    case "isolate":
    case "heal":
      lab.isolate(nameOf(fault.at), fault.kind === "isolate");
      return;
    case "cut":
      lab.setCut(nameOf(fault.from), nameOf(fault.to), true);
      return;
    case "wipe":
      if (!state.wiped) {
        state.wiped = true;
        cluster.kill(nameOf(fault.at));
        cluster.vm(nameOf(fault.at)).disk.wipe();
      }
      return;
    case "duplicate": {
      const plain = lab.rpc.fate;
      lab.rpc.fate = (passage) => ({
        ...plain(passage),
        duplicated: fault.on,
      });
      return;
    }
    case "jump":
      lab.timer.jumpWallTime(fault.ms);
      return;
    case "wait":
      await lab.timer.advance(fault.ms);
  }
}

/** Ends all faults and waits until the replicas agree. */
async function recover(lab: Lab): Promise<void> {
  lab.healAll();
  for (const vm of [...lab.cluster.vms]) {
    vm.freezer.thaw();
  }
  // A stop that was frozen half-way ends now.
  await lab.timer.advance(4_000);
  for (const vm of [...lab.cluster.vms]) {
    if (!lab.cluster.vm(vm.name).alive) {
      await lab.cluster.start(vm.name);
    }
  }
  await lab.converge();
}

/** Runs a schedule and returns what is broken. */
async function brokenBy(
  seed: number,
  schedule: readonly Fault[],
): Promise<string[]> {
  const lab = createLab({ seed, tuning: { snapshotEvery: 12 } });
  await lab.begin();
  const state = { wiped: false };
  for (const fault of schedule) {
    await happen(lab, fault, state);
  }
  await recover(lab);
  return lab.broken();
}

/** Schedules that once failed, with the fault that they showed. */
const FOUND: { shows: string; seed: number; schedule: Fault[] }[] = [
  {
    shows: "entries after a gap were taken, in a predecessor's name",
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

for (const { shows, seed, schedule } of FOUND) {
  test(`once failed: ${shows}`, async (t) => {
    t.same(await brokenBy(seed, schedule), []);
  });
}

test(`random schedules of faults, seed ${SEED}, ${RUNS} runs`, async (t) => {
  const seeds = fc.integer({ min: 1, max: 1_000_000 });
  await fc.assert(
    fc.asyncProperty(seeds, faults, async (seed, schedule) => {
      const broken = await brokenBy(seed, schedule);
      if (broken.length > 0) {
        throw new Error(broken.join("; "));
      }
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: false },
  );
  t.pass("every schedule held");
});
