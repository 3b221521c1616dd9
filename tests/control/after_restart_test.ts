/**
 * What control has acknowledged, after all its replicas were killed within a
 * second: a server that has left and a failure domain that is out stay so, for
 * a node that starts again at the same time too; so do departures and suspected
 * requests.
 */
import { test } from "tap";
import {
  departMethod,
  leaveMethod,
  registerMethod,
  reportSuspicionsMethod,
  syncMethod,
} from "../../src/control/node_methods.ts";
import type { ChangeResult, Member } from "../../src/control/commands.ts";
import { createHarness, type Harness } from "./harness.ts";

const SEEDS = [1, 2, 3, 4, 5, 6];
const CALL_TIMEOUT_MS = 900;

function createMember(server: string): Member {
  return {
    server,
    service: "work",
    domain: "east",
    region: "south",
    address: `10.0.0.${server.length}:7000`,
    incarnation: `${server}-first`,
    boot: `${server}-boot`,
    slots: 4,
    leaving: false,
  };
}

/** Calls control as a node does; advances the clock until there is a reply. */
async function callAny<Q, R>(
  harness: Harness,
  method: Parameters<ReturnType<Harness["rpc"]["from"]>["call"]>[0]["method"],
  request: Q,
  accept: (reply: R) => boolean,
): Promise<R> {
  const rpc = harness.rpc.from("vm1");
  for (let tries = 0; tries < 200; tries++) {
    const { vms } = harness.cluster;
    let ended = false;
    let reply: R | undefined;
    void rpc.call({
      peer: vms[tries % vms.length].address,
      method,
      request,
      timeoutMs: CALL_TIMEOUT_MS,
    }).then((result) => {
      ended = true;
      reply = result.isOk() ? result.value as R : undefined;
    });
    await harness.until("the call ends", () => ended);
    if (reply !== undefined && accept(reply)) {
      return reply;
    }
  }
  throw new Error("no reply was accepted");
}

const isDone = (reply: { kind: string }) => reply.kind === "done";

for (const seed of SEEDS) {
  test(`a server that has left, after all replicas were killed, seed ${seed}`, async (t) => {
    const harness = createHarness({
      seed,
      tuning: { snapshotEvery: seed % 2 === 0 ? 4 : 4_096 },
    });
    await harness.startCluster();
    for (const server of ["left", "stays"]) {
      const member = createMember(server);
      const request = { member, expectedRevision: 0 };
      await callAny(harness, registerMethod, request, isDone);
    }
    await callAny(harness, leaveMethod, {
      server: "left",
      incarnation: "left-first",
    }, isDone);
    const departure = { kind: "boot", boot: "left-boot" } as const;
    await callAny(harness, departMethod, { server: "vm1", departure }, isDone);
    const crashes = ["c1", "c2"].map((crash) => ({
      crash,
      fingerprints: ["f"],
    }));
    await callAny(harness, reportSuspicionsMethod, {
      service: "work",
      crashes,
      cleared: [],
    }, isDone);
    let result: ChangeResult | undefined;
    void harness.cluster.propose({ kind: "domain_out", domain: "west" }, {
      force: true,
      changeId: "west-out",
    }).then((value) => {
      result = value;
    });
    await harness.until("the domain is out", () => result !== undefined);
    t.equal(result?.kind, "accepted", JSON.stringify(result));

    const names = harness.cluster.vms.map(({ name }) => name);
    names.forEach((name) => harness.cluster.kill(name));
    for (const name of names) {
      await harness.timer.advance(harness.random.integer(400));
      await harness.cluster.start(name);
    }
    const { view, departed, suspects } = await callAny<
      unknown,
      {
        confirmed: boolean;
        view: { global?: unknown; services: unknown[] };
        departed: unknown;
        suspects: unknown;
      }
    >(harness, syncMethod, {
      node: "vm1",
      known: { global: 0, routes: 0, services: { work: 0 } },
      confirm: true,
      knownSuspects: { service: "work", revision: 0 },
      events: [],
    }, ({ confirmed }) => confirmed);
    const text = JSON.stringify(view);
    t.match(text, /stays-boot/);
    t.notMatch(text, /left-boot/, "the server that has left");
    t.match(text, /"domainsOut":\["west"\]/);
    t.same(departed, [departure]);
    t.match(suspects, {
      suspects: [{ fingerprint: "f", crashes: ["c1", "c2"] }],
    });
    await harness.waitForConvergence();
    t.same(harness.findViolations(), []);
  });
}
