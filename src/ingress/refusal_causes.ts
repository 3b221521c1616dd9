/**
 * Groups the causes with which guards refuse requests.
 * @module
 */
import { isTurnedAway } from "../guard/turn_away.ts";

const QUEUE_REFUSALS = new Set<string>(["overloaded", "cold", "no_connection"]);

/** Whether a guard that decided on a request had no capacity for it. */
export function isQueueRefusal(cause: string): boolean {
  return QUEUE_REFUSALS.has(cause);
}

/** Whether no guard that was asked had capacity for a request in time. */
export function isForCapacity(cause: string): boolean {
  return isQueueRefusal(cause) || isTurnedAway(cause);
}
