/**
 * A fake replica of the log whose status a test sets.
 * @module
 */
import { err, ok } from "neverthrow";
import { ProposalError } from "./proposals.ts";
import type { Replica, ReplicaStatus } from "./replica.ts";

/** A {@link Replica} whose status a test sets. */
export interface FakeControlReplica extends Replica {
  /** Status that the replica reports; only a leader accepts proposals. */
  currentStatus: ReplicaStatus;
  /** Commands that were proposed while the replica was the leader. */
  proposedCommands: unknown[];
}

/** Creates a follower of the replica at `leader`. */
export function createFakeControlReplica(leader: string): FakeControlReplica {
  const currentStatus: ReplicaStatus = {
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
  const proposedCommands: unknown[] = [];

  function refuseProposal() {
    return err(new ProposalError("not_leader", currentStatus.leader));
  }

  return {
    currentStatus,
    proposedCommands,
    start: () => Promise.resolve(),
    stop: () => Promise.resolve(),
    status: () => currentStatus,
    addresses: () => [],
    stalenessMs: () => 0,
    propose(command) {
      if (currentStatus.role !== "leader") {
        return Promise.resolve(refuseProposal());
      }
      proposedCommands.push(command);
      return Promise.resolve(ok(true));
    },
    confirm: () =>
      Promise.resolve(
        currentStatus.role === "leader"
          ? ok(currentStatus.commitIndex)
          : refuseProposal(),
      ),
  };
}
