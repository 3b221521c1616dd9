/**
 * Size of a quorum, and the highest value that a quorum of voters has reached.
 * @module
 */

/** Number of voters, out of `voters`, that form a quorum. */
export function quorumSize(voters: number): number {
  return Math.floor(voters / 2) + 1;
}

/**
 * Highest value that a quorum of voters has reached, from each voter's value; 0
 * without voters.
 */
export function reachedByQuorum(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => other - one);
  return sorted[quorumSize(values.length) - 1] ?? 0;
}
