/**
 * Adaptive throttling: an ingress refuses a part of the requests for a service
 * itself, before it asks any guard, while guards refuse many of them. It refuses
 * from the bottom of the order in src/overload/order.ts, so that what guards
 * refuse of one rank leaves no room for lower ones.
 *
 * The load that this answers: more requests than the fleet can run. Each of them
 * would ask several guards before it is refused, and its caller sends it again,
 * so that the exchanges take the processor time that running requests need.
 * @module
 */
import {
  type Demand,
  placeIn,
  placeOf,
  priorityOf,
} from "../overload/order.ts";
import { createUsage, type Usage } from "../overload/usage.ts";
import type { Timer } from "../time/timer.ts";

/** Whether guards had capacity for a request that they were asked to run. */
export type RequestEnd = "accepted" | "refused";

/** A request that may be refused without asking a guard. */
export interface ThrottledRequest extends Demand {
  service: string;
  class: string;
  workspace: string;
  /** Whether it can no longer meet its latency objective. */
  isLate: boolean;
}

/** Throttles the requests of an ingress. */
export interface Throttle {
  /**
   * Counts a request. If it is to be refused without asking a guard, returns the
   * time in ms after which it may be let through; otherwise `undefined`.
   */
  refusalWaitMs(request: ThrottledRequest): number | undefined;
  /** Whether guards refused many requests for a service a moment ago. */
  wasOverloaded(service: string): boolean;
  /** Records how a request ended that was not refused. */
  record(request: ThrottledRequest, end: RequestEnd): void;
}

/** Options of {@link createThrottle}. */
export interface ThrottleOptions {
  timer: Timer;
  /** Returns a random number from 0 to 1. */
  randomFraction: () => number;
}

/** Recent requests of one class, rank and origin; older ones count less. */
interface Kind {
  /** Place in the order of its requests that are in time. */
  priority: number;
  /** Usual time by which its requests are placed. */
  usualMs: number;
  /** Requests, whether they were refused here or not. */
  offered: number;
  /** Requests that were not refused here. */
  sent: number;
  accepted: number;
  /** Requests that guards refused. */
  refused: number;
}

/** Recent requests for a service; older ones count less. */
interface Counts {
  /** Requests by place in the order, whether they were refused here or not. */
  offered: Map<number, number>;
  kinds: Map<string, Kind>;
  accepted: number;
  /** Requests that guards refused. */
  refused: number;
  /** Monotonic time at which a guard last refused one. */
  refusedAt: number;
  updatedAt: number;
  usage: Usage;
}

/** Time in which the weight of a request falls to a half. */
const HALF_LIFE_MS = 500;
/** Weight below which a count is dropped. */
const MIN_WEIGHT = 0.01;
/** Requests that are let through for each accepted one. */
const SENT_PER_ACCEPTED = 1.25;
/** Age from which a refusal by a guard no longer shows an overload. */
const MAX_EVIDENCE_AGE_MS = 500;
/**
 * Age from which a refusal no longer shows that several guards were full. It
 * exceeds the age above: the first requests that are let through again ask few
 * guards, since an overload may go on.
 */
const MAX_SHORTAGE_AGE_MS = 1_500;
/** Refusals for each accepted request up to which nothing is refused here. */
const TOLERATED_REFUSALS = 0.1;
/** Requests for a service that are always let through. */
const MIN_REQUESTS = 5;
/** Requests of a kind that are always let through, so that none starves. */
const MIN_REQUESTS_OF_KIND = 1;
/** Accepted requests of a kind from which few refusals show that it has room. */
const MIN_ACCEPTED_OF_KIND = 1;
/**
 * Time after which a request may come back, if all like it are let through. If
 * only a share of them is, it is longer by as much.
 */
const RETRY_AFTER_MS = 400;
const MIN_SHARE = 0.1;
/** Factor up to which the usual time of a kind may drift before it moves. */
const MAX_USUAL_DRIFT = 4;
const MAX_SERVICES = 200;
const MAX_KINDS = 1_000;

function decayOffered(offered: Map<number, number>, weight: number): void {
  for (const [place, count] of offered) {
    if (count * weight < MIN_WEIGHT) {
      offered.delete(place);
    } else {
      offered.set(place, count * weight);
    }
  }
}

function decayKinds(kinds: Map<string, Kind>, weight: number): void {
  for (const [key, kind] of kinds) {
    kind.offered *= weight;
    kind.sent *= weight;
    kind.accepted *= weight;
    kind.refused *= weight;
    if (kind.offered < MIN_WEIGHT) {
      kinds.delete(key);
    }
  }
}

/** Whether the usual time of a kind is no longer near the one known. */
function hasMoved(usualMs: number, knownMs: number): boolean {
  return usualMs > knownMs * MAX_USUAL_DRIFT ||
    usualMs * MAX_USUAL_DRIFT < knownMs;
}

/**
 * Counts what was offered again after a kind has moved. Otherwise its requests
 * before the move could count as more urgent than those after it, which would
 * all be refused.
 */
function placeOfferedAgain({ offered, kinds }: Counts): void {
  offered.clear();
  for (const { priority, offered: count } of kinds.values()) {
    const place = placeIn(priority, 0);
    offered.set(place, (offered.get(place) ?? 0) + count);
  }
}

/** Whether guards refuse more of some requests than is usual without overload. */
function isRefusedOften(
  { accepted, refused }: { accepted: number; refused: number },
): boolean {
  return refused > TOLERATED_REFUSALS * accepted;
}

/**
 * Whether guards have room for a kind: they refuse few of it, and few of more
 * urgent ones.
 */
function hasRoom(kind: Kind, kinds: Map<string, Kind>): boolean {
  if (kind.accepted < MIN_ACCEPTED_OF_KIND || isRefusedOften(kind)) {
    return false;
  }
  for (const other of kinds.values()) {
    if (other.priority < kind.priority && isRefusedOften(other)) {
      return false;
    }
  }
  return true;
}

/**
 * Returns which share of the requests in a place may be sent: what those that
 * go before it leave.
 */
function sendableShare({ offered, accepted }: Counts, place: number): number {
  let left = Math.max(MIN_REQUESTS, SENT_PER_ACCEPTED * accepted);
  for (const [other, count] of offered) {
    left -= other < place ? count : 0;
  }
  return left / (offered.get(place) ?? 1);
}

/** Requests of one class may differ in rank, by their routes or their origin. */
function kindKey(request: ThrottledRequest): string {
  const { workspaceRank = 0, rank, forRunning = false } = request;
  return `${workspaceRank} ${rank} ${forRunning} ${request.class}`;
}

/** Creates a throttle that refuses nothing yet. */
export function createThrottle(options: ThrottleOptions): Throttle {
  const { timer, randomFraction } = options;
  /** Counts by service, the ones used last at the end. */
  const services = new Map<string, Counts>();

  function createCounts(): Counts {
    return {
      offered: new Map(),
      kinds: new Map(),
      accepted: 0,
      refused: 0,
      refusedAt: -Infinity,
      updatedAt: timer.now(),
      usage: createUsage(timer),
    };
  }

  /** Returns the counts of a service, decayed to now. */
  function countsOf(service: string): Counts {
    const counts = services.get(service) ?? createCounts();
    services.delete(service);
    services.set(service, counts);
    if (services.size > MAX_SERVICES) {
      services.delete(services.keys().next().value!);
    }
    const elapsedMs = timer.now() - counts.updatedAt;
    if (elapsedMs > 0) {
      const weight = 0.5 ** (elapsedMs / HALF_LIFE_MS);
      decayOffered(counts.offered, weight);
      decayKinds(counts.kinds, weight);
      counts.accepted *= weight;
      counts.refused *= weight;
      counts.updatedAt = timer.now();
    }
    return counts;
  }

  function isOverloaded(counts: Counts): boolean {
    return isRefusedOften(counts) &&
      timer.now() - counts.refusedAt < MAX_EVIDENCE_AGE_MS;
  }

  /** Returns the kind of a request; without memory for it, a new one. */
  function kindOf(counts: Counts, request: ThrottledRequest): Kind {
    const { kinds } = counts;
    const key = kindKey(request);
    const known = kinds.get(key);
    if (known && !hasMoved(request.usualMs, known.usualMs)) {
      return known;
    }
    const kind: Kind = {
      offered: 0,
      sent: 0,
      accepted: 0,
      refused: 0,
      ...known,
      priority: priorityOf(request, true),
      usualMs: request.usualMs,
    };
    if (known || kinds.size < MAX_KINDS) {
      kinds.set(key, kind);
    }
    if (known) {
      placeOfferedAgain(counts);
    }
    return kind;
  }

  /**
   * Returns the excess of a workspace for one request. As many requests as make
   * up its share go with those of other workspaces, so that it does not starve.
   */
  function drawExcess(usage: Usage, workspace: string): number {
    const excess = usage.excessOf(workspace);
    const isInShare = excess > 0 &&
      randomFraction() < 1 / usage.ratioOf(workspace);
    return isInShare ? 0 : excess;
  }

  return {
    refusalWaitMs(request) {
      const { workspace } = request;
      const counts = countsOf(request.service);
      const kind = kindOf(counts, request);
      const { usualMs } = kind;
      counts.usage.charge(workspace, Math.max(1, usualMs));
      const place = placeOf({ ...request, usualMs }, {
        meetsObjective: !request.isLate,
        excess: drawExcess(counts.usage, workspace),
      });
      counts.offered.set(place, (counts.offered.get(place) ?? 0) + 1);
      kind.offered++;
      if (
        isOverloaded(counts) && kind.sent >= MIN_REQUESTS_OF_KIND &&
        !hasRoom(kind, counts.kinds)
      ) {
        const share = sendableShare(counts, place);
        if (randomFraction() >= share) {
          return RETRY_AFTER_MS / Math.max(MIN_SHARE, share);
        }
      }
      kind.sent++;
      return undefined;
    },
    wasOverloaded(service) {
      const counts = services.get(service);
      return counts !== undefined && isRefusedOften(counts) &&
        timer.now() - counts.refusedAt < MAX_SHORTAGE_AGE_MS;
    },
    record(request, end) {
      const counts = countsOf(request.service);
      counts[end]++;
      // The usual time of a request that ends may be out of date, so it does not
      // move its kind.
      const kind = counts.kinds.get(kindKey(request));
      if (kind) {
        kind[end]++;
      }
      if (end === "refused") {
        counts.refusedAt = timer.now();
      }
    },
  };
}
