/**
 * What a planned stop of a replica cuts.
 */
import { test } from "tap";
import { eventSchema } from "../../src/account/events.ts";
import { syncMethod } from "../../src/control/node_methods.ts";
import { createLab } from "./lab.ts";

const ELECTION_MS = 600;

test("leadership is handed over to a follower that answers", async (t) => {
  const slow: string[] = [];
  for (const nth of [0, 1, 2, 3]) {
    const lab = createLab({ seed: 51, replicas: 5 });
    await lab.begin();
    await lab.converge();
    const old = lab.cluster.leader()!.name;
    const others = lab.cluster.vms.filter((vm) => vm.name !== old);
    lab.cluster.kill(others[nth].name);
    await lab.timer.advance(2_000);
    const stoppedAt = lab.timer.now();
    void lab.cluster.stop(old);
    await lab.until("another leads", () => {
      const leader = lab.cluster.leader();
      return leader !== undefined && leader.name !== old;
    });
    const tookMs = lab.timer.now() - stoppedAt;
    if (tookMs >= ELECTION_MS) {
      slow.push(`${others[nth].name} was dead: ${tookMs} ms`);
    }
  }
  t.same(slow, []);
});

test("the only replica answers a change that is under way when it stops", async (t) => {
  const lab = createLab({ seed: 52, replicas: 1 });
  await lab.begin();
  const { name, control } = lab.cluster.leader()!;
  let reply: unknown;
  void control.change({
    kind: "change",
    changeId: "late",
    operator: "ann",
    force: true,
    wallTime: 0,
    action: { kind: "domain_out", domain: "east" },
  }).then((value) => {
    reply = value;
  });
  void lab.cluster.stop(name);
  await lab.timer.advance(3_000);
  t.match(reply, { kind: "done" });
});

/** Sends an event, stops the replica after a time, and looks for it again. */
async function eventsAfterStop(waitMs: number): Promise<number> {
  const lab = createLab({ seed: 53, replicas: 1 });
  await lab.begin();
  const { name, address } = lab.cluster.leader()!;
  const event = eventSchema.parse({
    source: "node1",
    wallTime: 5,
    version: 1,
    kind: "crash",
    server: "vm7",
  });
  const call = lab.rpc.from("node1").call({
    peer: address,
    method: syncMethod,
    request: {
      node: "node1",
      known: { global: 0, routes: 0, services: {} },
      confirm: false,
      events: [event],
    },
    timeoutMs: 1_000,
  });
  await lab.timer.advance(2);
  (await call)._unsafeUnwrap();
  await lab.timer.advance(waitMs);
  let stopped = false;
  void lab.cluster.stop(name).then(() => {
    stopped = true;
  });
  while (!stopped) {
    await lab.timer.advance(1);
  }
  // The process exits as soon as it has stopped.
  const vm = lab.cluster.vm(name);
  vm.disk.detach();
  lab.cluster.vms[0] = { ...vm, disk: vm.disk.successor() };
  await lab.cluster.start(name);
  await lab.timer.advance(3_000);
  let found = 0;
  void lab.cluster.vm(name).control.find({ server: "vm7" }).then((all) => {
    found = all.events.length;
  });
  await lab.timer.advance(1_000);
  return found;
}

test("events that a node was told are taken outlast a stop", async (t) => {
  t.equal(await eventsAfterStop(2_000), 1, "a stop long after");
  t.equal(await eventsAfterStop(0), 1, "a stop right after");
});
