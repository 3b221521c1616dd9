/**
 * The context of one replica, whose peers are simulated by a test.
 * @module
 */
import { silentLogger } from "../core/logger.ts";
import { createSerialQueue } from "../core/tasks.ts";
import { createFakeDisk, type FakeDisk } from "../disk/fake_disk.ts";
import { createFakeRpcNetwork, type FakeRpcNetwork } from "../rpc/fake_rpc.ts";
import type { Method, Rpc } from "../rpc/rpc.ts";
import { createFakeTimer, type FakeTimer } from "../time/fake_timer.ts";
import { createTermState } from "./term_state.ts";
import { openFakeLog } from "./fake_log.ts";
import { fakeReplica } from "./fake_replica.ts";
import { createLeaderContact } from "./leader_contact.ts";
import { createLocalReplica } from "./local_replica.ts";
import { createLogStore, type Membership } from "./log_store.ts";
import { createPreVotes } from "./pre_votes.ts";
import type { ReplicaContext } from "./replica_context.ts";
import { DEFAULT_TUNING } from "./tuning.ts";

/** Network delay of a request or reply in a test, in milliseconds. */
export const DELAY_MS = 1;

/**
 * The context of the active replica `a`, and the objects that a test controls.
 */
export interface FakeContext {
  context: ReplicaContext;
  timer: FakeTimer;
  network: FakeRpcNetwork;
  /** The disk that holds the term and vote. */
  disk: FakeDisk;
  /** Reports of the term state: `newer term` or `failure`. */
  reported: string[];
  /** Calls the replica like another replica would. */
  ask<Q, R>(method: Method<Q, R>, request: Q): Promise<R>;
  /** Starts a peer whose handlers the test sets. */
  peer(vm: string): Promise<Rpc>;
}

/** A membership in which `a`, `b` and `c` vote. */
export const THREE_VOTERS: Membership = {
  voters: ["a", "b", "c"].map((vm) => fakeReplica(vm)),
  learners: [],
};

/** Creates the context of replica `a` as a member. */
export async function createFakeContext(
  membership: Membership = THREE_VOTERS,
): Promise<FakeContext> {
  const timer = createFakeTimer();
  const network = createFakeRpcNetwork(timer, DELAY_MS);
  const self = fakeReplica("a");
  const rpc = network.from(self.address);
  const local = createLocalReplica(self);
  local.setLog(await openFakeLog({ membership }));
  local.setIdentity(self.identity);
  local.activate();
  const disk = createFakeDisk();
  const reported: string[] = [];
  const context: ReplicaContext = {
    local,
    termState: createTermState({
      store: createLogStore(disk),
      onNewerTerm: () => reported.push("newer term"),
      onFailure: () => reported.push("failure"),
    }),
    contact: createLeaderContact(timer),
    preVotes: createPreVotes(timer),
    serial: createSerialQueue(),
    rpc,
    timer,
    logger: silentLogger,
    tuning: DEFAULT_TUNING,
  };
  await rpc.listen(self.address);

  return {
    context,
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
