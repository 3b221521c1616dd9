/**
 * The order in which requests get a slot, and the reverse of the order in which
 * they are turned away. Guards' queues, eviction and the throttle of an ingress
 * all use it, since with different orders in different places the most urgent
 * class is served no better than the others.
 *
 * The load that this answers: more requests than the servers can run, of classes
 * and workspaces that differ in urgency, work and use.
 * @module
 */

/** Properties by which requests are ordered under overload. */
export interface Demand {
  /** Priority of the workspace; 0, the default, goes first. */
  workspaceRank?: number;
  /** Priority of the route within the workspace's; 0 goes first. */
  rank: number;
  /**
   * Whether a backend server makes the request for one that it runs. Turning it
   * away would waste the work that was done on that one.
   */
  forRunning?: boolean;
  /** Time that such a request usually takes, in ms; 0 while unknown. */
  usualMs: number;
}

/** State of a request that changes while it waits. */
export interface DemandState {
  /** Whether the request can still meet its objective. */
  meetsObjective: boolean;
  /** How far its workspace is above its share, as a level; 0 if it is not. */
  excess: number;
}

/** Ratio between the usual times of two adjacent cost levels. */
const COST_LEVEL_FACTOR = 4;
/** Cost levels added to a request that can no longer meet its objective. */
const LATE_PENALTY_LEVELS = 1.5;
/** Steps of a cost level, so that all costs are whole numbers. */
const STEPS_PER_LEVEL = 2;
const MAX_COST_STEP = 63;
/** Rank from which ranks count as equal, so that an order is one number. */
const MAX_RANK = 9_999;
/** Highest level of a workspace's excess over its share. */
export const MAX_EXCESS = 15;

function clampRank(rank: number): number {
  return Math.min(MAX_RANK, Math.max(0, Math.floor(rank)));
}

/** Returns the cost of a request in steps; fewer go first. */
function costStep(usualMs: number, meetsObjective: boolean): number {
  const size = Math.log(Math.max(1, usualMs)) / Math.log(COST_LEVEL_FACTOR);
  const levels = Math.round(size) + (meetsObjective ? 0 : LATE_PENALTY_LEVELS);
  return Math.min(MAX_COST_STEP, levels * STEPS_PER_LEVEL);
}

/**
 * Returns the place of a request by rank, objective and work; lower goes first.
 * A short request that is late goes before a long one that is not, since it is
 * often a call for a running request and delays the long one little.
 */
export function priorityOf(demand: Demand, meetsObjective: boolean): number {
  const { workspaceRank = 0, rank, forRunning = false, usualMs } = demand;
  const ranks = clampRank(workspaceRank) * (MAX_RANK + 1) + clampRank(rank);
  return (ranks * 2 + (forRunning ? 0 : 1)) * (MAX_COST_STEP + 1) +
    costStep(usualMs, meetsObjective);
}

/** Returns the place within a priority by the excess of the workspace. */
export function placeIn(priority: number, excess: number): number {
  return priority * (MAX_EXCESS + 1) + Math.min(MAX_EXCESS, excess);
}

/**
 * Returns the place of a request by rank, objective, work and the use of its
 * workspace; lower goes first. Requests in the same place go by whether they
 * come back as told, then by deadline.
 */
export function placeOf(demand: Demand, state: DemandState): number {
  return placeIn(priorityOf(demand, state.meetsObjective), state.excess);
}
