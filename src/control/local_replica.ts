/**
 * The current identity, role and log of this replica.
 * @module
 */
import { StepError } from "../core/errors.ts";
import type { ReplicaInfo } from "./log_store.ts";
import type { ReplicaLog } from "./replica_log.ts";

/** The current role of a replica. */
export type Role =
  | "starting"
  | "learner"
  | "follower"
  | "leader"
  | "failed"
  | "stopped";

/** The current identity, role and log of this replica. */
export interface LocalReplica {
  /**
   * Identity, VM and address; the identity is empty until it was determined.
   */
  readonly info: ReplicaInfo;
  readonly role: Role;
  /** The log; `undefined` until the disk has been read. */
  readonly log: ReplicaLog | undefined;
  /** Returns the log; throws if the disk has not been read. */
  openLog(): ReplicaLog;
  /** Whether the newest membership contains this replica as a voter. */
  isVoter(): boolean;
  /**
   * Whether this replica takes part in the cluster and has the identity that a
   * call is addressed to.
   */
  acceptsCallsFor(identity: string): boolean;
  /** Called when the disk was read, to set the log. */
  setLog(log: ReplicaLog): void;
  /** Called when the identity was read from disk or created, to set it. */
  setIdentity(identity: string): void;
  /**
   * Called when the replica begins to take part, to make it a follower or
   * learner.
   */
  activate(): void;
  /**
   * Called on each request of a leader: makes this replica a follower or
   * learner, according to the membership. A leader keeps its role.
   */
  follow(): void;
  lead(): void;
  /** Called when leadership has ended: makes a leader a follower. */
  stepDown(): void;
  fail(): void;
  /** Called before the disk is read again: returns to the role `starting`. */
  restart(): void;
  stop(): void;
}

/** Creates a replica that is starting. */
export function createLocalReplica(
  location: { vm: string; address: string },
): LocalReplica {
  const { vm, address } = location;
  let identity = "";
  let role: Role = "starting";
  let log: ReplicaLog | undefined;

  function openLog(): ReplicaLog {
    if (!log) {
      throw new StepError("replica.log", "the disk was not read yet");
    }
    return log;
  }

  function isVoter(): boolean {
    return openLog().membership.voters
      .some((voter) => voter.identity === identity);
  }

  function takesPart(): boolean {
    return role === "follower" || role === "leader" || role === "learner";
  }

  return {
    get info() {
      return { identity, vm, address };
    },
    get role() {
      return role;
    },
    get log() {
      return log;
    },
    openLog,
    isVoter,
    acceptsCallsFor: (to) => takesPart() && to === identity,
    setLog(next) {
      log = next;
    },
    setIdentity(next) {
      identity = next;
    },
    activate() {
      role = isVoter() ? "follower" : "learner";
    },
    follow() {
      const next = isVoter() ? "follower" : "learner";
      if (role !== "leader") {
        role = next;
      }
    },
    lead() {
      role = "leader";
    },
    stepDown() {
      if (role === "leader") {
        role = "follower";
      }
    },
    fail() {
      role = "failed";
    },
    restart() {
      role = "starting";
    },
    stop() {
      role = "stopped";
    },
  };
}
