/**
 * The request queue of a guard. It orders requests by src/overload/order.ts: by
 * rank, objective and work, then by the use of their workspaces, then by whether
 * they come back as told, then by deadline. A full queue evicts in the reverse
 * order.
 *
 * Under overload the server's time goes to the most urgent requests that can
 * still be answered within their objective, at equal rank to many short requests
 * rather than to one long one, and not to the workspace that sends the most.
 * @module
 */
import { type Demand, placeOf, priorityOf } from "../overload/order.ts";

/** Properties by which the queue orders a request. */
export interface QueueCandidate extends Demand {
  workspace: string;
  /** Monotonic time by which the request must have been answered. */
  deadlineAt: number;
  /** Whether its caller comes back after a refusal, as it was told. */
  returning?: boolean;
  /** Whether the request can meet its objective if it starts now. */
  canMeetObjective(): boolean;
  /** Whether the request may start now. */
  mayStart(): boolean;
}

/** A waiting request. */
export interface QueuedRequest extends QueueCandidate {
  /** Starts the request. */
  start(): void;
  /** Refuses the request, which has not run. */
  refuse(): void;
}

/** Returns how far a workspace is above its share; see src/overload/usage.ts. */
export type ExcessOf = (workspace: string) => number;

/** The queue of a guard. */
export interface RequestQueue {
  /** Number of waiting requests. */
  readonly size: number;
  /**
   * Adds a request. When `limit` is reached, the last request is evicted and
   * refused if the new one has priority over it. At equal priority, the last
   * request of the workspace furthest above its share is evicted, or that of the
   * workspace with the most waiting requests, if the new request's workspace is
   * less far above it or would have fewer. Returns `false` if no request can be
   * evicted.
   */
  add(
    request: QueuedRequest,
    options: { limit: number; excessOf: ExcessOf },
  ): boolean;
  /** Removes and returns the next request that may start. */
  take(excessOf: ExcessOf): QueuedRequest | undefined;
  /**
   * Returns how many waiting requests would go ahead of a new one. Requests
   * that are held back do not count if the new one may start now.
   */
  countAhead(request: QueueCandidate, excessOf: ExcessOf): number;
  /** Removes a request; returns whether it was in the queue. */
  remove(request: QueuedRequest): boolean;
  /** Removes and returns all requests. */
  drain(): QueuedRequest[];
}

/** A request with its place at the time of a decision. */
interface Placed<T extends QueueCandidate> {
  request: T;
  place: number;
}

/** Returns the present place of a request in the order; lower goes first. */
export function placeIn(request: QueueCandidate, excessOf: ExcessOf): number {
  return placeOf(request, {
    meetsObjective: request.canMeetObjective(),
    excess: excessOf(request.workspace),
  });
}

function placed<T extends QueueCandidate>(
  request: T,
  excessOf: ExcessOf,
): Placed<T> {
  return { request, place: placeIn(request, excessOf) };
}

/** Whether a request goes ahead of another one in the same place. */
function isEarlier(one: QueueCandidate, other: QueueCandidate): boolean {
  const { returning = false } = one;
  return returning === (other.returning ?? false)
    ? one.deadlineAt < other.deadlineAt
    : returning;
}

/** Whether a request goes ahead of another. */
function goesBefore(
  one: Placed<QueueCandidate>,
  other: Placed<QueueCandidate>,
): boolean {
  return one.place === other.place
    ? isEarlier(one.request, other.request)
    : one.place < other.place;
}

/** Requests of one workspace that are the first to be evicted. */
interface EvictionGroup {
  excess: number;
  requests: QueuedRequest[];
}

/** Whether a group gives way to a further request of the workspace `own`. */
function givesWayTo(group: EvictionGroup, own: EvictionGroup): boolean {
  return group.excess === own.excess
    ? group.requests.length > own.requests.length + 1
    : group.excess > own.excess;
}

/** Creates an empty queue. */
export function createRequestQueue(): RequestQueue {
  let waiting: QueuedRequest[] = [];

  function remove(request: QueuedRequest): boolean {
    const index = waiting.indexOf(request);
    if (index >= 0) {
      waiting.splice(index, 1);
    }
    return index >= 0;
  }

  /**
   * Returns the requests of the workspace that has to give way first, of
   * requests that are sorted with the last one first.
   */
  function findGroup(
    requests: readonly QueuedRequest[],
    excessOf: ExcessOf,
  ): EvictionGroup {
    const groups = new Map<string, EvictionGroup>();
    let worst: EvictionGroup = { excess: -1, requests: [] };
    for (const request of requests) {
      const { workspace } = request;
      const group = groups.get(workspace) ??
        { excess: excessOf(workspace), requests: [] };
      groups.set(workspace, group);
      group.requests.push(request);
      const isLonger = group.requests.length > worst.requests.length;
      if (
        group.excess > worst.excess ||
        (group.excess === worst.excess && isLonger)
      ) {
        worst = group;
      }
    }
    return worst;
  }

  /** Returns the request that a new one may evict from a full queue. */
  function findEvictable(
    request: QueuedRequest,
    excessOf: ExcessOf,
  ): QueuedRequest | undefined {
    const priorities = waiting.map((one) =>
      priorityOf(one, one.canMeetObjective())
    );
    const lowest = Math.max(...priorities);
    const priority = priorityOf(request, request.canMeetObjective());
    if (waiting.length === 0 || priority > lowest) {
      return undefined;
    }
    const last = waiting.filter((_, index) => priorities[index] === lowest)
      .sort((one, other) => isEarlier(one, other) ? 1 : -1);
    const group = findGroup(last, excessOf);
    if (priority === lowest) {
      const { workspace } = request;
      const own: EvictionGroup = {
        excess: excessOf(workspace),
        requests: last.filter((one) => one.workspace === workspace),
      };
      if (!givesWayTo(group, own)) {
        return undefined;
      }
    }
    return group.requests[0];
  }

  return {
    get size() {
      return waiting.length;
    },
    add(request, { limit, excessOf }) {
      if (waiting.length >= limit) {
        const evicted = findEvictable(request, excessOf);
        if (!evicted) {
          return false;
        }
        remove(evicted);
        evicted.refuse();
      }
      waiting.push(request);
      return true;
    },
    take(excessOf) {
      let best: Placed<QueuedRequest> | undefined;
      for (const request of waiting) {
        if (!request.mayStart()) {
          continue;
        }
        const one = placed(request, excessOf);
        if (!best || goesBefore(one, best)) {
          best = one;
        }
      }
      if (best) {
        remove(best.request);
      }
      return best?.request;
    },
    countAhead(request, excessOf) {
      const own = placed(request, excessOf);
      const startable = request.mayStart();
      return waiting.filter((one) =>
        (!startable || one.mayStart()) && goesBefore(placed(one, excessOf), own)
      ).length;
    },
    remove,
    drain() {
      const all = waiting;
      waiting = [];
      return all;
    },
  };
}
