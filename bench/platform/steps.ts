/**
 * What a node tells of the functions that it has run.
 * @module
 */

/** Start of the line that tells it. */
export const STEPS_PREFIX = "steps ";

/** How often functions ran since the last time that was told, by module. */
export interface Steps {
  /** Rises with each telling. */
  round: number;
  counts: Record<string, number>;
}
