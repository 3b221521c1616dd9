/**
 * How many voters decide, and what a quorum of them has reached.
 * @module
 */

/** Voters that a decision needs, out of `voters`. */
export function quorumOf(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/** Highest value that a quorum has reached, given each voter's own; or 0. */
export function reachedByQuorum(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => other - one);
  return sorted[quorumOf(values.length) - 1] ?? 0;
}
