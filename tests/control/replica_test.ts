import { test } from "tap";
import { createHarness, type Harness } from "./harness.ts";

function listRoles(harness: Harness): string[] {
  return harness.cluster.vms.map((vm) => vm.control.replica.status().role);
}

/** Returns the names of all replicas but one. */
function listOthers(harness: Harness, name: string): string[] {
  return harness.cluster.vms.map((vm) => vm.name).filter((one) => one !== name);
}

test("every accepted change survives a kill between any two disk operations", async (t) => {
  const violations: string[] = [];
  let killCount = 0;
  for (let operation = 1; operation <= 40; operation++) {
    const harness = createHarness({
      seed: operation,
      tuning: { snapshotEvery: 8 },
    });
    await harness.startCluster();
    const faulty = harness.cluster.vms[operation % 3];
    const from = faulty.disk.operations + operation;
    faulty.disk.failFrom(from, "killed");
    for (let count = 0; count < 24; count++) {
      await harness.change();
      const failed = harness.cluster.vm(faulty.name).control.replica.status();
      if (failed.role === "failed") {
        killCount++;
        harness.cluster.kill(faulty.name);
        await harness.cluster.start(faulty.name);
      }
    }
    await harness.waitForConvergence();
    violations.push(...harness.findViolations());
  }
  t.same(violations, []);
  t.equal(killCount, 40, "every kill took place");
});

test("a replica with a lost disk rejoins, and a second loss right after it loses no accepted change", async (t) => {
  const harness = createHarness({ seed: 3 });
  await harness.startCluster();
  await harness.change();
  for (const name of ["control1", "control2"]) {
    const before = harness.cluster.vm(name).control.replica.status().identity;
    harness.cluster.kill(name);
    harness.cluster.vm(name).disk.wipe();
    await harness.cluster.start(name);
    await harness.until(`${name} votes again`, () => {
      const leader = harness.cluster.leader()?.control.replica.status();
      const { identity, role } = harness.cluster.vm(name).control.replica
        .status();
      return role !== "learner" && identity !== before && identity !== "" &&
        (leader?.voters.includes(identity) ?? false);
    });
    await harness.change();
  }
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
  t.equal(harness.accepted.length, 4);
});

/**
 * Has control1 and control2 accept entries while control3 is isolated. Then
 * control2 loses entries that it had acknowledged as durable, and control1 is
 * isolated, so that control2 and control3 could form a quorum without them.
 */
async function loseAcknowledgedEntry(
  harness: Harness,
  lose: (diskCopy: Map<string, Uint8Array>) => void,
): Promise<void> {
  await harness.startCluster();
  await harness.until("control1 or control2 leads", () => {
    const leader = harness.cluster.leader()?.name;
    if (leader === "control3") {
      void harness.cluster.stop("control3").then(() =>
        harness.cluster.start("control3")
      );
    }
    return leader === "control1" || leader === "control2";
  });
  await harness.waitForConvergence();
  const diskCopy = harness.cluster.vm("control2").disk.copy();
  harness.isolate("control3", true);
  await harness.change();
  await harness.change();
  harness.cluster.kill("control2");
  lose(diskCopy);
  // control1 must not resend the entries before control2 and control3 connect.
  harness.dropCalls("control1", "control2", ["append", "snapshot"]);
  harness.setLinkBlocked("control2", "control3", false);
  harness.setLinkBlocked("control3", "control2", false);
  await harness.cluster.start("control2");
  await harness.timer.advance(150);
  harness.isolate("control1", true);
  await harness.timer.advance(5_000);
  await harness.change({ giveUpMs: 2_000 });
  harness.healAll();
  await harness.timer.advance(3_000);
  await harness.waitForConvergence();
}

for (const checkDisabled of [false, true]) {
  const outcome = checkDisabled
    ? "an accepted change if the peers' check is disabled"
    : "no accepted change";

  test(`a rolled back disk loses ${outcome}`, async (t) => {
    const harness = createHarness({ seed: 5 });
    if (checkDisabled) {
      harness.rpc.replaceReplies("hello", (reply) => ({
        ...reply as object,
        rolledBack: false,
      }));
    }
    await loseAcknowledgedEntry(
      harness,
      (diskCopy) => harness.cluster.vm("control2").disk.restore(diskCopy),
    );
    t.equal(
      harness.findViolations().length > 0,
      checkDisabled,
      harness.findViolations().join("; "),
    );
  });

  test(`a lost disk loses ${outcome}`, async (t) => {
    const harness = createHarness({ seed: 6 });
    if (checkDisabled) {
      harness.rpc.replaceReplies("hello", (reply) => ({
        ...reply as object,
        formed: false,
      }));
    }
    await loseAcknowledgedEntry(
      harness,
      () => harness.cluster.vm("control2").disk.wipe(),
    );
    t.equal(
      harness.findViolations().length > 0,
      checkDisabled,
      harness.findViolations().join("; "),
    );
  });
}

test("an isolated leader accepts no change and steps down", async (t) => {
  const harness = createHarness({ seed: 7 });
  await harness.startCluster();
  const old = harness.cluster.leader()!.name;
  harness.isolate(old, true);
  const result = await harness.change({ via: old, giveUpMs: 3_000 });
  t.equal(result, undefined, "the change has no result");
  t.not(harness.cluster.vm(old).control.replica.status().role, "leader");
  const version = harness.cluster.vm(old).control.state.version;
  const [one] = listOthers(harness, old);
  await harness.until("another replica leads", () => {
    const leader = harness.cluster.leader();
    return leader !== undefined && leader.name !== old;
  });
  t.equal((await harness.change({ via: one }))?.kind, "accepted");
  t.equal(harness.cluster.vm(old).control.state.version, version);
  harness.healAll();
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});

test("a frozen leader is replaced, and rejoins without the loss of a change", async (t) => {
  const harness = createHarness({ seed: 8 });
  await harness.startCluster();
  const old = harness.cluster.leader()!;
  old.freezer.freeze();
  await harness.until("another replica leads", () => {
    const leader = harness.cluster.leader();
    return harness.cluster.vms.some((vm) =>
      vm.name !== old.name &&
      vm.control.replica.status().role === "leader"
    ) || (leader !== undefined && leader.name !== old.name);
  });
  const [one] = listOthers(harness, old.name);
  t.equal((await harness.change({ via: one }))?.kind, "accepted");
  old.freezer.thaw();
  await harness.timer.advance(2_000);
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});

test("of two changes based on one version exactly one is accepted", async (t) => {
  const harness = createHarness({ seed: 9 });
  await harness.startCluster();
  const against = harness.cluster.leader()!.control.state.version;
  const [first, second] = await Promise.all([
    harness.change({
      against,
      changeId: "a",
      operator: "ann",
      via: "control1",
    }),
    harness.change({
      against,
      changeId: "b",
      operator: "bob",
      via: "control2",
    }),
  ]);
  const kinds = [first?.kind, second?.kind].sort();
  t.same(kinds, ["accepted", "conflict"]);
  const [winner, loser] = first?.kind === "accepted" ? ["a", "b"] : ["b", "a"];
  const conflict = first?.kind === "conflict" ? first : second;
  t.equal(
    conflict?.kind === "conflict" && conflict.winner?.changeId,
    winner,
    "the conflict names the accepted change",
  );
  const history = harness.cluster.leader()!.control.state.history();
  t.notOk(history.some((one) => one.changeId === loser));
  t.same(harness.findViolations(), []);
});

test("repeated submissions of a change get the same result", async (t) => {
  const harness = createHarness({ seed: 10 });
  await harness.startCluster();
  const leader = harness.cluster.leader()!;
  const action = { kind: "domain_out", domain: "east" } as const;
  const submission = { against: 1, changeId: "once", force: true };
  const results: unknown[] = [];
  for (const vm of harness.cluster.vms) {
    void harness.cluster.propose(action, { ...submission, via: vm.name })
      .then((result) => results.push(result));
  }
  await harness.until(
    "all three submissions have a result",
    () => results.length === 3,
  );
  t.same(results, Array(3).fill({ kind: "accepted", version: 2 }));
  t.equal(leader.control.state.version, 2);
});

test("a replica catches up by snapshot after hundreds of changes", async (t) => {
  const harness = createHarness({ seed: 11, tuning: { snapshotEvery: 64 } });
  await harness.startCluster();
  const behind = listOthers(harness, harness.cluster.leader()!.name)[0];
  harness.cluster.kill(behind);
  for (let count = 0; count < 300; count++) {
    await harness.change();
  }
  await harness.cluster.start(behind);
  await harness.waitForConvergence();
  t.equal(harness.cluster.vm(behind).control.state.version, 301);
  t.ok(harness.cluster.vm(behind).control.replica.status().snapshotIndex > 200);
  t.same(harness.findViolations(), []);
});

test("a torn tail of the log is truncated, and other damage fails the replica", async (t) => {
  const harness = createHarness({ seed: 12 });
  await harness.startCluster();
  for (let count = 0; count < 5; count++) {
    await harness.change();
  }
  harness.cluster.kill("control1");
  const { disk } = harness.cluster.vm("control1");
  await disk.append("log", new Uint8Array([0, 0, 1, 7, 1, 2, 3, 4, 5]));
  await harness.cluster.start("control1");
  await harness.waitForConvergence();
  t.not(listRoles(harness)[0], "failed");

  harness.cluster.kill("control1");
  harness.cluster.vm("control1").disk.corrupt("log", 30);
  await harness.cluster.start("control1");
  await harness.timer.advance(1_000);
  const status = harness.cluster.vm("control1").control.replica.status();
  t.equal(status.role, "failed");
  t.match(status.failure, /damaged record at byte/);
  t.equal(
    (await harness.change())?.kind,
    "accepted",
    "the other replicas accept a change",
  );
});

test("a leader whose disk is full steps down and reports the failure", async (t) => {
  const harness = createHarness({ seed: 13 });
  await harness.startCluster();
  const leader = harness.cluster.leader()!;
  leader.disk.failFrom(leader.disk.operations + 1, "no space left on device");
  t.equal(
    (await harness.change())?.kind,
    "accepted",
    "another replica accepts the change",
  );
  const status = leader.control.replica.status();
  t.equal(status.role, "failed");
  t.match(status.failure, /no space left/);
  t.same(harness.findViolations(), []);
});

test("a planned stop hands leadership over before an election timeout", async (t) => {
  const harness = createHarness({ seed: 14 });
  await harness.startCluster();
  const old = harness.cluster.leader()!.name;
  const stoppedAt = harness.timer.now();
  void harness.cluster.stop(old);
  await harness.until("another replica leads", () => {
    const leader = harness.cluster.leader();
    return leader !== undefined && leader.name !== old;
  });
  t.ok(
    harness.timer.now() - stoppedAt < 600,
    "the handover takes less than an election timeout",
  );
  t.equal((await harness.change())?.kind, "accepted");
  t.same(harness.findViolations(), []);
});

test("a jump of the wall clock does not expire claims", async (t) => {
  const harness = createHarness({ seed: 15 });
  await harness.startCluster();
  const { replica, state } = harness.cluster.leader()!.control;
  let granted = false;
  const claim = {
    kind: "claim",
    key: "work\ndefault\nk1",
    requestHash: "h",
    claimant: "one",
    server: "vm1",
    address: "vm1:1",
    incarnation: "i",
  };
  void replica.propose(claim).then(() => {
    granted = true;
  });
  await harness.until("the claim is granted", () => granted);
  harness.timer.jumpWallTime(10 * 86_400_000);
  let again: unknown;
  void replica.propose({ ...claim, claimant: "two" }).then((result) => {
    again = result.isOk() && result.value;
  });
  await harness.until(
    "the second claim has a result",
    () => again !== undefined,
  );
  t.match(again, { kind: "held", held: { server: "vm1" } });
  t.equal(state.claimCount(), 1);
});

test("a cluster of five accepts changes with three replicas, but not with two", async (t) => {
  const harness = createHarness({ seed: 16, replicas: 5 });
  await harness.startCluster();
  harness.cluster.kill("control4");
  harness.cluster.kill("control5");
  t.equal(
    (await harness.change())?.kind,
    "accepted",
    "three of five replicas are a quorum",
  );
  harness.cluster.kill("control3");
  t.equal(
    await harness.change({ giveUpMs: 3_000 }),
    undefined,
    "two of five replicas are no quorum",
  );
  await harness.cluster.start("control3");
  await harness.cluster.start("control4");
  await harness.cluster.start("control5");
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});

test("a replica with a full disk rejoins once the disk has space again", async (t) => {
  const harness = createHarness({ seed: 14 });
  await harness.startCluster();
  const leader = harness.cluster.leader()!;
  leader.disk.failFrom(leader.disk.operations + 1, "no space left on device");
  t.equal(
    (await harness.change())?.kind,
    "accepted",
    "another replica accepts the change",
  );
  await harness.timer.advance(4_000);
  t.equal((await harness.change())?.kind, "accepted");
  leader.disk.clearFailure();
  await harness.until("the replica follows again with all entries", () => {
    const { role, commitIndex } = leader.control.replica.status();
    const newest = harness.cluster.leader()?.control.replica.status()
      .commitIndex;
    return role === "follower" && commitIndex === newest;
  });
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});

test("an unreachable voter is demoted unless that weakens the quorum", async (t) => {
  const harness = createHarness({ seed: 18, replicas: 4 });
  await harness.startCluster();
  const followers = harness.cluster.vms
    .map((vm) => vm.name)
    .filter((name) => name !== harness.cluster.leader()!.name);
  const voters = () =>
    harness.cluster.leader()?.control.replica.status().voters.length;
  harness.isolate(followers[0], true);
  await harness.timer.advance(4_000);
  t.equal(voters(), 4, "a short silence demotes no voter");
  await harness.until("the silent voter is demoted", () => voters() === 3);
  harness.isolate(followers[1], true);
  t.equal(
    (await harness.change())?.kind,
    "accepted",
    "a change with a second replica isolated",
  );
  await harness.timer.advance(10_000);
  t.equal(voters(), 3, "of three voters none is demoted");
  harness.healAll();
  await harness.until("all replicas vote again", () => voters() === 4);
  await harness.waitForConvergence();
  t.same(harness.findViolations(), []);
});
