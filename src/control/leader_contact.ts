/**
 * Which leader this replica knows, and when it last heard from it.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { ReplicaInfo } from "./log_store.ts";

/** The leader that is known, and when it was last heard. */
export interface LeaderContact {
  /** The newest leader known, if any. */
  readonly leader: ReplicaInfo | undefined;
  /** RPC address of the newest leader known, or empty. */
  readonly address: string;
  /** Monotonic time of the last sign of a leader, or -Infinity. */
  readonly heardAt: number;
  /** Time since the last sign of a leader, in milliseconds. */
  silenceMs(): number;
  /** A leader was heard. */
  heard(leader: ReplicaInfo): void;
  /** A candidate was voted for, and has an election timeout to lead. */
  awaitCandidate(): void;
  /** This replica leads. */
  lead(self: ReplicaInfo): void;
}

/** Creates a contact to nobody. */
export function createLeaderContact(timer: Timer): LeaderContact {
  let leader: ReplicaInfo | undefined;
  let heardAt = -Infinity;

  return {
    get leader() {
      return leader;
    },
    get address() {
      return leader?.address ?? "";
    },
    get heardAt() {
      return heardAt;
    },
    silenceMs: () => timer.now() - heardAt,
    heard(next) {
      leader = next;
      heardAt = timer.now();
    },
    awaitCandidate() {
      heardAt = timer.now();
    },
    lead(self) {
      leader = self;
    },
  };
}
