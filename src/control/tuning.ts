/**
 * Timeouts and sizes that all parts of a replica share.
 * @module
 */

/** Timeouts and sizes of a replica. */
export interface ReplicaTuning {
  /**
   * Election timeout in milliseconds. A random part of it is added to each wait;
   * only the first wait after a restart is shorter.
   */
  electionMs: number;
  /** Interval of a leader's heartbeats in milliseconds. */
  heartbeatMs: number;
  /** Timeout of one call to a peer in milliseconds. */
  callMs: number;
  /** Number of entries applied between two snapshots. */
  snapshotEvery: number;
  /** Largest chunk of a snapshot in one call, in bytes. */
  snapshotChunkBytes: number;
}

/** Defaults for replicas with a network latency of a few milliseconds. */
export const DEFAULT_TUNING: ReplicaTuning = {
  electionMs: 600,
  heartbeatMs: 100,
  callMs: 500,
  snapshotEvery: 4_096,
  snapshotChunkBytes: 1 << 20,
};
