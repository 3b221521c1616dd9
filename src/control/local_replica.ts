/**
 * What this replica is at present: its identity, its role and its log.
 * @module
 */
import { StepError } from "../core/errors.ts";
import type { ReplicaInfo } from "./log_store.ts";
import type { ReplicaLog } from "./replica_log.ts";

/** What a replica does at present. */
export type Role =
  | "starting"
  | "learner"
  | "follower"
  | "leader"
  | "failed"
  | "stopped";

/** What this replica is at present. */
export interface LocalReplica {
  /** Name and place; the identity is empty until it has entered. */
  readonly info: ReplicaInfo;
  readonly role: Role;
  /** The log, once the disk has been read. */
  readonly log: ReplicaLog | undefined;
  /** Returns the log; throws before the disk has been read. */
  openLog(): ReplicaLog;
  /** Whether the newest membership lets it vote. */
  isVoter(): boolean;
  /** Whether it takes part and goes by an identity that a call is meant for. */
  isMeant(identity: string): boolean;
  /** The disk was read. */
  opened(log: ReplicaLog): void;
  /** Its identity was read, or made anew. */
  identified(identity: string): void;
  /** It takes part from now on. */
  entered(): void;
  /** A leader was heard; a leader of its own keeps its role. */
  follow(): void;
  lead(): void;
  /** Leadership has ended. */
  stepDown(): void;
  fail(): void;
  /** The disk is read again. */
  restart(): void;
  stop(): void;
}

/** Creates a replica that is starting. */
export function createLocalReplica(
  place: { vm: string; address: string },
): LocalReplica {
  const { vm, address } = place;
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
    isMeant: (to) => takesPart() && to === identity,
    opened(next) {
      log = next;
    },
    identified(next) {
      identity = next;
    },
    entered() {
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
