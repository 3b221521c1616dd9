/**
 * Events from which an incident can be reconstructed: which requests ran, which
 * did not, for which it is unknown, and why.
 * @module
 */
import { z } from "zod";
import type { Timer } from "../time/timer.ts";

/** Kinds of events. */
export const eventKindSchema = z.enum([
  "answered",
  "refused",
  "unknown",
  "retry",
  "hedge",
  "fence",
  "claim",
  "crash",
  "quarantine",
  "cold",
  "warm",
  "withdrawn",
  "returned",
  "leaving",
  "configuration",
  "leader",
  "member",
]);
/** Schema of an event. Fields that do not apply are empty. */
export const eventSchema = z.object({
  wallTime: z.number(),
  kind: eventKindSchema,
  source: z.string(),
  version: z.number(),
  requestId: z.string().default(""),
  key: z.string().default(""),
  /** Workspace that a key of the request has proved. */
  workspace: z.string().default(""),
  service: z.string().default(""),
  server: z.string().default(""),
  domain: z.string().default(""),
  outcome: z.string().default(""),
  cause: z.string().default(""),
});
/** An event. */
export type Event = z.infer<typeof eventSchema>;

/** The fields of an event that the component recording it provides. */
export type EventDetail =
  & Pick<Event, "kind">
  & Partial<Omit<Event, "wallTime" | "source" | "version">>;

/** Records events in memory, up to a limit. */
export interface Recorder {
  /** Records an event. */
  record(detail: EventDetail): void;
  /** Returns the most recent events, oldest first. */
  events(): Event[];
  /** Removes and returns at most `count` of the events to be delivered. */
  take(count: number): Event[];
  /** Queues events again that could not be delivered, before all others. */
  requeue(events: Event[]): void;
  /** Number of events that were dropped before they were delivered. */
  readonly dropped: number;
}

/** Options of {@link createRecorder}. */
export interface RecorderOptions {
  /** Name of the VM that records the events. */
  source: string;
  /** Source of the wall time of events. */
  timer: Timer;
  /** Returns the configuration version in force. */
  version: () => number;
  /** Limit of recent events; up to a quarter more may wait for delivery. */
  capacity: number;
}

/** Creates a recorder. */
export function createRecorder(options: RecorderOptions): Recorder {
  const { source, timer, version, capacity } = options;
  const recent: Event[] = [];
  let pending: Event[] = [];
  let dropped = 0;

  function trimPending(): void {
    // Trimming a quarter at a time keeps the cost of each event low.
    const excess = pending.length - capacity;
    if (excess > capacity / 4) {
      pending = pending.slice(excess);
      dropped += excess;
    }
  }

  return {
    get dropped() {
      return dropped;
    },
    record(detail) {
      const event: Event = {
        wallTime: timer.wallTime(),
        source,
        version: version(),
        requestId: "",
        key: "",
        workspace: "",
        service: "",
        server: "",
        domain: "",
        outcome: "",
        cause: "",
        ...detail,
      };
      recent.push(event);
      if (recent.length > capacity) {
        recent.shift();
      }
      // Answered requests without an idempotency key are not delivered: the
      // histograms and the recent events cover them.
      if (detail.kind !== "answered" || detail.key) {
        pending.push(event);
        trimPending();
      }
    },
    events: () => [...recent],
    take(count) {
      const taken = pending.slice(0, count);
      pending = pending.slice(count);
      return taken;
    },
    requeue(events) {
      pending = [...events, ...pending];
      trimPending();
    },
  };
}

/** Schema of a search for events. */
export const querySchema = z.object({
  requestId: z.string().optional(),
  key: z.string().optional(),
  server: z.string().optional(),
  domain: z.string().optional(),
  since: z.number().optional(),
  until: z.number().optional(),
});
/** A search for events; an event must match all fields that are set. */
export type Query = z.infer<typeof querySchema>;

/** Whether an event matches all fields of a query. */
export function matchesQuery(event: Event, query: Query): boolean {
  return (query.requestId === undefined ||
    event.requestId === query.requestId) &&
    (query.key === undefined || event.key === query.key) &&
    (query.server === undefined || event.server === query.server) &&
    (query.domain === undefined || event.domain === query.domain) &&
    (query.since === undefined || event.wallTime >= query.since) &&
    (query.until === undefined || event.wallTime <= query.until);
}
