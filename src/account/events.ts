/**
 * Events from which an incident can be told: what ran, what did not, what is
 * unknown, and why.
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
/** One event. Fields that do not apply are empty. */
export const eventSchema = z.object({
  wallTime: z.number(),
  kind: eventKindSchema,
  source: z.string(),
  version: z.number(),
  requestId: z.string().default(""),
  key: z.string().default(""),
  service: z.string().default(""),
  server: z.string().default(""),
  domain: z.string().default(""),
  outcome: z.string().default(""),
  cause: z.string().default(""),
});
/** One event. */
export type Event = z.infer<typeof eventSchema>;

/** What a part knows about an event that it records. */
export type EventDetail =
  & Pick<Event, "kind">
  & Partial<Omit<Event, "wallTime" | "source" | "version">>;

/** Records events in a bounded ring. */
export interface Recorder {
  /** Records an event. */
  record(detail: EventDetail): void;
  /** Events recorded so far that the ring still holds, oldest first. */
  events(): Event[];
  /** Takes at most `count` events that were not taken before. */
  take(count: number): Event[];
  /** Puts events back that could not be delivered. */
  putBack(events: Event[]): void;
  /** Number of events that were lost before they could be taken. */
  readonly dropped: number;
}

/** Options of {@link createRecorder}. */
export interface RecorderOptions {
  /** Name of the VM. */
  source: string;
  /** Clock. */
  timer: Timer;
  /** Returns the configuration version in force. */
  version: () => number;
  /** Events held at most. */
  capacity: number;
}

/** Creates a recorder. */
export function createRecorder(options: RecorderOptions): Recorder {
  const { source, timer, version, capacity } = options;
  const ring: Event[] = [];
  let pending: Event[] = [];
  let dropped = 0;

  function bound(): void {
    // Trimming in steps keeps the cost of one event small.
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
        service: "",
        server: "",
        domain: "",
        outcome: "",
        cause: "",
        ...detail,
      };
      ring.push(event);
      if (ring.length > capacity) {
        ring.shift();
      }
      // An ordinary answer is told by histograms and the ring alone.
      if (detail.kind !== "answered" || detail.key) {
        pending.push(event);
        bound();
      }
    },
    events: () => [...ring],
    take(count) {
      const taken = pending.slice(0, count);
      pending = pending.slice(count);
      return taken;
    },
    putBack(events) {
      pending = [...events, ...pending];
      bound();
    },
  };
}

/** What to look for in an account. */
export const querySchema = z.object({
  requestId: z.string().optional(),
  key: z.string().optional(),
  server: z.string().optional(),
  domain: z.string().optional(),
  since: z.number().optional(),
  until: z.number().optional(),
});
/** What to look for in an account; every field given must match. */
export type Query = z.infer<typeof querySchema>;

/** Whether an event matches a query. */
export function matchesQuery(event: Event, query: Query): boolean {
  return (query.requestId === undefined ||
    event.requestId === query.requestId) &&
    (query.key === undefined || event.key === query.key) &&
    (query.server === undefined || event.server === query.server) &&
    (query.domain === undefined || event.domain === query.domain) &&
    (query.since === undefined || event.wallTime >= query.since) &&
    (query.until === undefined || event.wallTime <= query.until);
}
