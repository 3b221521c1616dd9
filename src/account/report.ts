/**
 * Renders events as text and counts them for the chart of an account.
 * @module
 */
import type { Event } from "./events.ts";
import type { AccountSearchResult } from "../control/control.ts";

export type { AccountSearchResult };

/** Describes an event in one line. */
export function describeEvent(event: Event): string {
  const time = new Date(event.wallTime).toISOString();
  const parts = [
    time,
    event.source,
    `v${event.version}`,
    event.kind,
    event.requestId && `request ${event.requestId}`,
    event.workspace && `workspace ${event.workspace}`,
    event.service,
    event.server && `at ${event.server}`,
    event.outcome && `-> ${event.outcome}`,
    event.cause && `(${event.cause})`,
  ];
  return parts.filter((part) => part !== "").join(" ");
}

/** Number of events in an interval of time. */
export interface IntervalCounts {
  /** Start of the interval in Unix milliseconds. */
  start: number;
  /** Number of events by kind. */
  counts: Record<string, number>;
}

/** Counts events by kind in time intervals of equal length. */
export function countByInterval(
  events: readonly Event[],
  intervals: number,
): IntervalCounts[] {
  if (events.length === 0) {
    return [];
  }
  const first = events[0].wallTime;
  const last = events.at(-1)!.wallTime;
  const width = Math.max(1, (last - first + 1) / intervals);
  const result: IntervalCounts[] = Array.from(
    { length: intervals },
    (_, index) => ({
      start: first + index * width,
      counts: {},
    }),
  );
  for (const event of events) {
    const index = Math.min(
      intervals - 1,
      Math.floor((event.wallTime - first) / width),
    );
    const { counts } = result[index];
    counts[event.kind] = (counts[event.kind] ?? 0) + 1;
  }
  return result;
}
