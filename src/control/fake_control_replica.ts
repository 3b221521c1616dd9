/**
 * A replica of the log that does what a test says.
 * @module
 */
import { err, ok } from "neverthrow";
import { ProposalError } from "./proposals.ts";
import type { Replica, ReplicaStatus } from "./replica.ts";

/** A {@link Replica} under a test's control. */
export interface FakeControlReplica extends Replica {
  /** What it says of itself; only a leader accepts proposals. */
  shown: ReplicaStatus;
  /** Commands that were proposed while it led. */
  proposed: unknown[];
}

/** Creates a follower of the replica at `leader`. */
export function createFakeControlReplica(leader: string): FakeControlReplica {
  const shown: ReplicaStatus = {
    identity: "a",
    role: "follower",
    term: 1,
    leader,
    lastIndex: 0,
    commitIndex: 0,
    snapshotIndex: 0,
    voters: [],
    learners: [],
    failure: "",
  };
  const proposed: unknown[] = [];

  function notLeader() {
    return err(new ProposalError("not_leader", shown.leader));
  }

  return {
    shown,
    proposed,
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    status: () => shown,
    addresses: () => [],
    stalenessMs: () => 0,
    propose(command) {
      if (shown.role !== "leader") {
        return Promise.resolve(notLeader());
      }
      proposed.push(command);
      return Promise.resolve(ok(true));
    },
    confirm: () =>
      Promise.resolve(
        shown.role === "leader" ? ok(shown.commitIndex) : notLeader(),
      ),
  };
}
