import { test } from "tap";
import { createLab, type Lab } from "./lab.ts";

function rolesOf(lab: Lab): string[] {
  return lab.cluster.vms.map((vm) => vm.control.replica.status().role);
}

/** Makes the two other replicas' names, given one. */
function others(lab: Lab, name: string): string[] {
  return lab.cluster.vms.map((vm) => vm.name).filter((one) => one !== name);
}

test("every accepted change survives a kill between any two disk operations", async (t) => {
  const broken: string[] = [];
  let kills = 0;
  for (let operation = 1; operation <= 40; operation++) {
    const lab = createLab({ seed: operation, tuning: { snapshotEvery: 8 } });
    await lab.begin();
    const victim = lab.cluster.vms[operation % 3];
    const from = victim.disk.operations + operation;
    victim.disk.failFrom(from, "killed");
    for (let count = 0; count < 24; count++) {
      await lab.change();
      const failed = lab.cluster.vm(victim.name).control.replica.status();
      if (failed.role === "failed") {
        kills++;
        lab.cluster.kill(victim.name);
        await lab.cluster.start(victim.name);
      }
    }
    await lab.converge();
    broken.push(...lab.broken());
  }
  t.same(broken, []);
  t.equal(kills, 40, "each kill took place");
});

test("a replica that lost its disk joins anew, and a second loss right after loses nothing", async (t) => {
  const lab = createLab({ seed: 3 });
  await lab.begin();
  await lab.change();
  for (const name of ["control1", "control2"]) {
    const before = lab.cluster.vm(name).control.replica.status().identity;
    lab.cluster.kill(name);
    lab.cluster.vm(name).disk.wipe();
    await lab.cluster.start(name);
    await lab.until(`${name} votes again`, () => {
      const leader = lab.cluster.leader()?.control.replica.status();
      const { identity, role } = lab.cluster.vm(name).control.replica.status();
      return role !== "learner" && identity !== before && identity !== "" &&
        (leader?.voters.includes(identity) ?? false);
    });
    await lab.change();
  }
  await lab.converge();
  t.same(lab.broken(), []);
  t.equal(lab.accepted.length, 4);
});

/**
 * An entry is accepted by control1 and control2 while control3 is cut off.
 * Then control2 loses what it had made durable, and control1 is cut off.
 */
async function loseAcknowledged(
  lab: Lab,
  lose: (copy: Map<string, Uint8Array>) => void,
): Promise<void> {
  await lab.begin();
  await lab.until("control1 or control2 leads", () => {
    const leader = lab.cluster.leader()?.name;
    if (leader === "control3") {
      void lab.cluster.stop("control3").then(() =>
        lab.cluster.start("control3")
      );
    }
    return leader === "control1" || leader === "control2";
  });
  await lab.converge();
  const copy = lab.cluster.vm("control2").disk.copy();
  lab.isolate("control3", true);
  await lab.change();
  await lab.change();
  lab.cluster.kill("control2");
  lose(copy);
  // Nothing may mend the loss before the two others meet.
  lab.lose("control1", "control2", ["append", "snapshot"]);
  lab.setCut("control2", "control3", false);
  lab.setCut("control3", "control2", false);
  await lab.cluster.start("control2");
  await lab.timer.advance(150);
  lab.isolate("control1", true);
  await lab.timer.advance(5_000);
  await lab.change({ giveUpMs: 2_000 });
  lab.healAll();
  await lab.timer.advance(3_000);
  await lab.converge();
}

for (const off of [false, true]) {
  const without = off ? ", which shows without the check" : "";

  test(`a rolled back disk costs no accepted change${without}`, async (t) => {
    const lab = createLab({ seed: 5 });
    if (off) {
      lab.rpc.replaceReplies("hello", (reply) => ({
        ...reply as object,
        rolledBack: false,
      }));
    }
    await loseAcknowledged(
      lab,
      (copy) => lab.cluster.vm("control2").disk.restore(copy),
    );
    t.equal(lab.broken().length > 0, off, lab.broken().join("; "));
  });

  test(`a lost disk costs no accepted change${without}`, async (t) => {
    const lab = createLab({ seed: 6 });
    if (off) {
      lab.rpc.replaceReplies("hello", (reply) => ({
        ...reply as object,
        formed: false,
      }));
    }
    await loseAcknowledged(lab, () => lab.cluster.vm("control2").disk.wipe());
    t.equal(lab.broken().length > 0, off, lab.broken().join("; "));
  });
}

test("an isolated leader accepts nothing and stands down", async (t) => {
  const lab = createLab({ seed: 7 });
  await lab.begin();
  const old = lab.cluster.leader()!.name;
  lab.isolate(old, true);
  const result = await lab.change({ via: old, giveUpMs: 3_000 });
  t.equal(result, undefined, "the operator is told nothing was accepted");
  t.not(lab.cluster.vm(old).control.replica.status().role, "leader");
  const version = lab.cluster.vm(old).control.state.version;
  const [one] = others(lab, old);
  await lab.until("another leads", () => {
    const leader = lab.cluster.leader();
    return leader !== undefined && leader.name !== old;
  });
  t.equal((await lab.change({ via: one }))?.kind, "accepted");
  t.equal(lab.cluster.vm(old).control.state.version, version);
  lab.healAll();
  await lab.converge();
  t.same(lab.broken(), []);
});

test("a leader that was frozen finds that time has passed", async (t) => {
  const lab = createLab({ seed: 8 });
  await lab.begin();
  const old = lab.cluster.leader()!;
  old.freezer.freeze();
  await lab.until("another leads", () => {
    const leader = lab.cluster.leader();
    return lab.cluster.vms.some((vm) =>
      vm.name !== old.name &&
      vm.control.replica.status().role === "leader"
    ) || (leader !== undefined && leader.name !== old.name);
  });
  const [one] = others(lab, old.name);
  t.equal((await lab.change({ via: one }))?.kind, "accepted");
  old.freezer.thaw();
  await lab.timer.advance(2_000);
  await lab.converge();
  t.same(lab.broken(), []);
});

test("of two operators with one number exactly one wins, and a resend repeats its result", async (t) => {
  const lab = createLab({ seed: 9 });
  await lab.begin();
  const against = lab.cluster.leader()!.control.state.version;
  const [first, second] = await Promise.all([
    lab.change({ against, changeId: "a", operator: "ann", via: "control1" }),
    lab.change({ against, changeId: "b", operator: "bob", via: "control2" }),
  ]);
  const kinds = [first?.kind, second?.kind].sort();
  t.same(kinds, ["accepted", "conflict"]);
  const [winner, loser] = first?.kind === "accepted" ? ["a", "b"] : ["b", "a"];
  const conflict = first?.kind === "conflict" ? first : second;
  t.equal(
    conflict?.kind === "conflict" && conflict.winner?.changeId,
    winner,
    "the loser is shown what won",
  );
  const history = lab.cluster.leader()!.control.state.history();
  t.notOk(history.some((one) => one.changeId === loser));
  t.same(lab.broken(), []);
});

test("a resend after a lost answer gets its first result", async (t) => {
  const lab = createLab({ seed: 10 });
  await lab.begin();
  const leader = lab.cluster.leader()!;
  const action = { kind: "domain_out", domain: "east" } as const;
  const order = { against: 1, changeId: "once", force: true };
  const results: unknown[] = [];
  for (const vm of lab.cluster.vms) {
    void lab.cluster.propose(action, { ...order, via: vm.name })
      .then((result) => results.push(result));
  }
  await lab.until("three results", () => results.length === 3);
  t.same(results, Array(3).fill({ kind: "accepted", version: 2 }));
  t.equal(leader.control.state.version, 2);
});

test("a replica catches up by snapshot after hundreds of changes", async (t) => {
  const lab = createLab({ seed: 11, tuning: { snapshotEvery: 64 } });
  await lab.begin();
  const behind = others(lab, lab.cluster.leader()!.name)[0];
  lab.cluster.kill(behind);
  for (let count = 0; count < 300; count++) {
    await lab.change();
  }
  await lab.cluster.start(behind);
  await lab.converge();
  t.equal(lab.cluster.vm(behind).control.state.version, 301);
  t.ok(lab.cluster.vm(behind).control.replica.status().snapshotIndex > 200);
  t.same(lab.broken(), []);
});

test("a torn tail is cut off, other damage is refused loudly", async (t) => {
  const lab = createLab({ seed: 12 });
  await lab.begin();
  for (let count = 0; count < 5; count++) {
    await lab.change();
  }
  lab.cluster.kill("control1");
  const { disk } = lab.cluster.vm("control1");
  await disk.append("log", new Uint8Array([0, 0, 1, 7, 1, 2, 3, 4, 5]));
  await lab.cluster.start("control1");
  await lab.converge();
  t.not(rolesOf(lab)[0], "failed");

  lab.cluster.kill("control1");
  lab.cluster.vm("control1").disk.corrupt("log", 30);
  await lab.cluster.start("control1");
  await lab.timer.advance(1_000);
  const status = lab.cluster.vm("control1").control.replica.status();
  t.equal(status.role, "failed");
  t.match(status.failure, /damaged record at byte/);
  t.equal((await lab.change())?.kind, "accepted", "the others go on");
});

test("a replica whose disk is full steps back and says so", async (t) => {
  const lab = createLab({ seed: 13 });
  await lab.begin();
  const leader = lab.cluster.leader()!;
  leader.disk.failFrom(leader.disk.operations + 1, "no space left on device");
  t.equal((await lab.change())?.kind, "accepted", "another one leads");
  const status = leader.control.replica.status();
  t.equal(status.role, "failed");
  t.match(status.failure, /no space left/);
  t.same(lab.broken(), []);
});

test("a planned stop hands leadership over before an election is due", async (t) => {
  const lab = createLab({ seed: 14 });
  await lab.begin();
  const old = lab.cluster.leader()!.name;
  const stoppedAt = lab.timer.now();
  void lab.cluster.stop(old);
  await lab.until("another leads", () => {
    const leader = lab.cluster.leader();
    return leader !== undefined && leader.name !== old;
  });
  t.ok(lab.timer.now() - stoppedAt < 600, "sooner than an election timeout");
  t.equal((await lab.change())?.kind, "accepted");
  t.same(lab.broken(), []);
});

test("a jump of the wall clock changes nothing that was claimed", async (t) => {
  const lab = createLab({ seed: 15 });
  await lab.begin();
  const { replica, state } = lab.cluster.leader()!.control;
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
  await lab.until("the claim is granted", () => granted);
  lab.timer.jumpWallTime(10 * 86_400_000);
  let again: unknown;
  void replica.propose({ ...claim, claimant: "two" }).then((result) => {
    again = result.isOk() && result.value;
  });
  await lab.until("an answer", () => again !== undefined);
  t.match(again, { kind: "held", held: { server: "vm1" } });
  t.equal(state.claimCount(), 1);
});

test("a returned replica is told apart from one on the same address", async (t) => {
  const lab = createLab({ seed: 16, replicas: 5 });
  await lab.begin();
  lab.cluster.kill("control4");
  lab.cluster.kill("control5");
  t.equal((await lab.change())?.kind, "accepted", "three of five are a quorum");
  lab.cluster.kill("control3");
  t.equal(await lab.change({ giveUpMs: 3_000 }), undefined, "two are none");
  await lab.cluster.start("control3");
  await lab.cluster.start("control4");
  await lab.cluster.start("control5");
  await lab.converge();
  t.same(lab.broken(), []);
});

test("a replica goes on once its full disk has room again", async (t) => {
  const lab = createLab({ seed: 14 });
  await lab.begin();
  const leader = lab.cluster.leader()!;
  leader.disk.failFrom(leader.disk.operations + 1, "no space left on device");
  t.equal((await lab.change())?.kind, "accepted", "another one leads");
  await lab.timer.advance(4_000);
  t.equal((await lab.change())?.kind, "accepted");
  leader.disk.repair();
  await lab.until("it follows again", () => {
    const { role, commitIndex } = leader.control.replica.status();
    const newest = lab.cluster.leader()?.control.replica.status().commitIndex;
    return role === "follower" && commitIndex === newest;
  });
  await lab.converge();
  t.same(lab.broken(), []);
});

test("a replica that is gone loses its vote where that costs nothing", async (t) => {
  const lab = createLab({ seed: 18, replicas: 4 });
  await lab.begin();
  const followers = lab.cluster.vms
    .map((vm) => vm.name)
    .filter((name) => name !== lab.cluster.leader()!.name);
  const voters = () =>
    lab.cluster.leader()?.control.replica.status().voters.length;
  lab.isolate(followers[0], true);
  await lab.timer.advance(4_000);
  t.equal(voters(), 4, "a short silence changes nothing");
  await lab.until("it votes no more", () => voters() === 3);
  lab.isolate(followers[1], true);
  t.equal((await lab.change())?.kind, "accepted", "a second one may be lost");
  await lab.timer.advance(10_000);
  t.equal(voters(), 3, "of three voters none is let go");
  lab.healAll();
  await lab.until("all vote again", () => voters() === 4);
  await lab.converge();
  t.same(lab.broken(), []);
});
