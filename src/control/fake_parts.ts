/**
 * The parts of one replica with peers that a test answers for.
 * @module
 */
import { silentLogger } from "../core/logger.ts";
import { createSerial } from "../core/tasks.ts";
import { createFakeDisk, type FakeDisk } from "../disk/fake_disk.ts";
import { createFakeRpcNetwork, type FakeRpcNetwork } from "../rpc/fake_rpc.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import { createBallot } from "./ballot.ts";
import { openFakeLog } from "./fake_log.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createLeaderContact } from "./leader_contact.ts";
import { createLocalReplica } from "./local_replica.ts";
import { createLogStore, type Membership } from "./log_store.ts";
import type { ReplicaParts } from "./replica_parts.ts";
import { DEFAULT_TUNING } from "./tuning.ts";

/** One way through a call in a test, in milliseconds. */
export const DELAY_MS = 1;

/** The parts of replica `a`, which has entered, and what a test holds of it. */
export interface FakeParts {
  parts: ReplicaParts;
  timer: FakeTimer;
  network: FakeRpcNetwork;
  /** The disk under the ballot. */
  disk: FakeDisk;
  /** What the ballot reported: `newer term` or `failure`. */
  reported: string[];
  /** Calls the replica as another one would. */
  ask<Q, R>(method: Method<Q, R>, request: Q): Promise<R>;
  /** Starts a peer that a test answers for. */
  peer(vm: string): Promise<Rpc>;
}

/** Members `a`, `b` and `c`, which all vote. */
export const THREE_VOTERS: Membership = {
  voters: ["a", "b", "c"].map((vm) => fakeReplica(vm)),
  learners: [],
};

/** Creates the parts of replica `a` as a member. */
export async function createFakeParts(
  membership: Membership = THREE_VOTERS,
): Promise<FakeParts> {
  const timer = createFakeTimer();
  const network = createFakeRpcNetwork(timer, DELAY_MS);
  const self = fakeReplica("a");
  const rpc = network.from(self.address);
  const local = createLocalReplica(self);
  local.opened(await openFakeLog({ membership }));
  local.identified(self.identity);
  local.entered();
  const disk = createFakeDisk();
  const reported: string[] = [];
  const parts: ReplicaParts = {
    local,
    ballot: createBallot({
      store: createLogStore(disk),
      onNewerTerm: () => reported.push("newer term"),
      onFailure: () => reported.push("failure"),
    }),
    contact: createLeaderContact(timer),
    serial: createSerial(),
    rpc,
    timer,
    logger: silentLogger,
    tuning: DEFAULT_TUNING,
  };
  await rpc.listen(self.address);

  return {
    parts,
    timer,
    network,
    disk,
    reported,
    async ask(method, request) {
      const reply = network.from("caller:1").call({
        peer: self.address,
        method,
        request,
        timeoutMs: DEFAULT_TUNING.callMs,
      });
      await timer.advance(2 * DELAY_MS);
      return (await reply)._unsafeUnwrap();
    },
    async peer(vm) {
      const { address } = fakeReplica(vm);
      const peer = network.from(address);
      await peer.listen(address);
      return peer;
    },
  };
}
