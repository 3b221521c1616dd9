/**
 * Format in which a node reports how often its functions ran.
 * @module
 */

/** Start of the line on standard error that holds {@link FunctionCounts}. */
export const COUNTS_PREFIX = "steps ";

/** How often functions ran since the previous report, by module. */
export interface FunctionCounts {
  /** Number of the report, from 1. */
  round: number;
  counts: Record<string, number>;
}
