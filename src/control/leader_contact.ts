/**
 * The leader that this replica knows, and the time of the last contact with it.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import type { ReplicaInfo } from "./log_store.ts";

/** The known leader, and the time of the last contact. */
export interface LeaderContact {
  /** The newest leader known, if any. */
  readonly leader: ReplicaInfo | undefined;
  /** RPC address of the newest leader known, or empty. */
  readonly address: string;
  /**
   * Monotonic time of the last contact with a leader or vote for a candidate,
   * or -Infinity.
   */
  readonly lastContactAt: number;
  /**
   * Time since the last contact with a leader or vote for a candidate, in
   * milliseconds.
   */
  silenceMs(): number;
  /**
   * Called on each request of a leader: sets the leader and the time of the
   * last contact.
   */
  recordContact(leader: ReplicaInfo): void;
  /**
   * Called when this replica voted for a candidate. It restarts the election
   * timeout, so that the candidate has time to win and to send its first
   * heartbeat.
   */
  recordVote(): void;
  /** Called when this replica starts to lead: sets it as the known leader. */
  lead(self: ReplicaInfo): void;
}

/** Creates a record without a known leader. */
export function createLeaderContact(timer: Timer): LeaderContact {
  let leader: ReplicaInfo | undefined;
  let lastContactAt = -Infinity;

  return {
    get leader() {
      return leader;
    },
    get address() {
      return leader?.address ?? "";
    },
    get lastContactAt() {
      return lastContactAt;
    },
    silenceMs: () => timer.now() - lastContactAt,
    recordContact(next) {
      leader = next;
      lastContactAt = timer.now();
    },
    recordVote() {
      lastContactAt = timer.now();
    },
    lead(self) {
      leader = self;
    },
  };
}
