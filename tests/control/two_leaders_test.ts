/**
 * A leader that is cut off from its peers or frozen, beside the one that they
 * elect: once a change of the new one is accepted, no read that the old one
 * confirms is without it, also in the moment in which it wakes and still leads;
 * while it is cut off it accepts no change.
 */
import { test } from "tap";
import type { Action } from "../../src/control/commands.ts";
import { createHarness, type Harness } from "./harness.ts";

const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];
const STEP_MS = 10;
/** Longest time for which a frozen leader stands still. */
const FREEZE_MS = 5_000;

const NEW_CHANGE: Action = { kind: "domain_out", domain: "west" };
const OLD_CHANGE: Action = { kind: "domain_out", domain: "east" };

/** Actions of the old leader. */
interface Acts {
  accepted: number;
  confirmed: number;
  /** Reads that were confirmed without the new leader's accepted change. */
  stale: number;
}

/** Lets a replica act as a leader whenever it runs. */
function keepActing(
  harness: Harness,
  { name, isChanged }: { name: string; isChanged: () => boolean },
): { acts: Acts; stop(): void } {
  const acts: Acts = { accepted: 0, confirmed: 0, stale: 0 };
  const { control, freezer } = harness.cluster.vm(name);
  async function read(): Promise<void> {
    const mustShow = isChanged();
    if (await control.confirmRead()) {
      acts.confirmed++;
      acts.stale += mustShow && !control.state.domainsOut.has("west") ? 1 : 0;
    }
  }
  async function change(): Promise<void> {
    const reply = await control.change({
      kind: "change",
      changeId: `old${harness.timer.now()}`,
      operator: "ann",
      force: true,
      wallTime: 0,
      action: OLD_CHANGE,
    });
    acts.accepted += reply.kind === "done" && !isHealed ? 1 : 0;
  }
  let isHealed = false;
  const acting = harness.timer.every(STEP_MS, () => {
    if (!freezer.frozen) {
      void read();
      void change();
    }
  });
  return {
    acts,
    stop() {
      isHealed = true;
      acting.cancel();
    },
  };
}

for (const seed of SEEDS) {
  const frozen = seed > SEEDS.length / 2;
  const fate = frozen ? "frozen" : "cut off";
  test(`a leader that is ${fate} beside its successor, seed ${seed}`, async (t) => {
    const harness = createHarness({ seed, replicas: seed % 2 === 0 ? 3 : 5 });
    await harness.startCluster();
    const old = harness.cluster.leader()!;
    if (frozen) {
      old.freezer.freeze();
    } else {
      harness.isolate(old.name, true);
    }
    let changed = false;
    const { acts, stop } = keepActing(harness, {
      name: old.name,
      isChanged: () => changed,
    });
    const successor = () =>
      harness.cluster.vms.find((vm) =>
        vm !== old && vm.control.replica.status().role === "leader"
      );
    await harness.until("the others have a leader", () => !!successor());
    void harness.cluster.propose(NEW_CHANGE, {
      via: successor()!.name,
      changeId: "successor",
      force: true,
    }).then(() => {
      changed = true;
    });
    await harness.until("its change is accepted", () => changed);
    await harness.timer.advance(harness.random.integer(FREEZE_MS));
    if (frozen) {
      t.equal(old.control.replica.status().role, "leader", "as it wakes");
      old.freezer.thaw();
      await harness.timer.advance(2_000);
      t.ok(acts.confirmed > 0, "it reads again, as a follower");
    } else {
      t.equal(acts.accepted, 0, "changes that the old leader accepted");
    }
    stop();
    t.equal(acts.stale, 0, "reads without the change");
    harness.healAll();
    await harness.waitForConvergence();
    t.ok(old.control.state.domainsOut.has("west"));
    t.same(harness.findViolations(), []);
  });
}
