/**
 * Times and sizes of a replica, shared by all its parts.
 * @module
 */

/** Times and sizes of a replica. */
export interface ReplicaTuning {
  /** Shortest silence of a leader before an election, in milliseconds. */
  electionMs: number;
  /** Interval of a leader's heartbeats in milliseconds. */
  heartbeatMs: number;
  /** Longest wait for one call to a peer in milliseconds. */
  callMs: number;
  /** Entries applied between two snapshots. */
  snapshotEvery: number;
  /** Largest part of a snapshot sent at once, in bytes. */
  snapshotPartBytes: number;
}

/** Tuning that fits replicas some milliseconds apart. */
export const DEFAULT_TUNING: ReplicaTuning = {
  electionMs: 600,
  heartbeatMs: 100,
  callMs: 500,
  snapshotEvery: 4_096,
  snapshotPartBytes: 1 << 20,
};
