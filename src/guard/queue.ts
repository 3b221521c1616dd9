/**
 * The request queue of a guard. It is fair between workspaces. Within a
 * workspace it orders requests by rank, then by expected processing time and
 * whether they can still meet their objective, then by deadline.
 *
 * Under overload the server's time goes to requests that can still be answered
 * within their objective, and at equal rank to many short requests rather than
 * to one long one. Short requests are often calls made by requests that are
 * already running, whose work is lost if the call fails.
 * @module
 */

/** Properties by which the queue orders a request. */
export interface QueueCandidate {
  workspace: string;
  /** Priority; 0 goes first. */
  rank: number;
  /** Monotonic time by which the request must have been answered. */
  deadlineAt: number;
  /** Time that such a request usually takes, in ms; 0 while unknown. */
  usualMs: number;
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

/** The queue of a guard. */
export interface FairQueue {
  /** Number of waiting requests. */
  readonly size: number;
  /**
   * Adds a request. When `limit` is reached, the last request of the workspace
   * with the most waiting requests is evicted and refused, if that workspace
   * has more than the new request's workspace would have. Otherwise the last
   * request of the same workspace is evicted and refused, if the new request
   * has priority over it. Returns `false` if no request can be evicted.
   */
  add(request: QueuedRequest, limit: number): boolean;
  /**
   * Removes and returns the next request that may start, from the workspace
   * with the fewest running requests.
   */
  take(runningOf: (workspace: string) => number): QueuedRequest | undefined;
  /**
   * Returns how many waiting requests would go ahead of a new one. Requests
   * that are held back do not count if the new one may start now.
   */
  countAhead(
    request: QueueCandidate,
    runningOf: (workspace: string) => number,
  ): number;
  /** Removes a request; returns whether it was in the queue. */
  remove(request: QueuedRequest): boolean;
  /** Removes and returns all requests. */
  drain(): QueuedRequest[];
}

/** Ratio between the usual times of two adjacent cost levels. */
const COST_LEVEL_FACTOR = 4;
/** Cost levels added to a request that can no longer meet its objective. */
const LATE_PENALTY_LEVELS = 1.5;

/** Returns the cost level of a request; a lower level goes first. */
function costLevel({ usualMs, canMeetObjective }: QueueCandidate): number {
  const size = Math.log(Math.max(1, usualMs)) / Math.log(COST_LEVEL_FACTOR);
  return Math.round(size) + (canMeetObjective() ? 0 : LATE_PENALTY_LEVELS);
}

/** Whether a request has priority over another by rank or by cost level. */
function hasPriorityOver(one: QueueCandidate, other: QueueCandidate): boolean {
  return one.rank === other.rank
    ? costLevel(one) < costLevel(other)
    : one.rank < other.rank;
}

/** Whether a request goes ahead of another; the deadline breaks ties. */
function goesBefore(one: QueueCandidate, other: QueueCandidate): boolean {
  if (hasPriorityOver(one, other) || hasPriorityOver(other, one)) {
    return hasPriorityOver(one, other);
  }
  return one.deadlineAt < other.deadlineAt;
}

function firstOf(list: readonly QueuedRequest[]): QueuedRequest | undefined {
  return list.reduce<QueuedRequest | undefined>(
    (best, one) => best === undefined || goesBefore(one, best) ? one : best,
    undefined,
  );
}

function lastOf(list: readonly QueuedRequest[]): QueuedRequest | undefined {
  return list.reduce<QueuedRequest | undefined>(
    (worst, one) => worst === undefined || goesBefore(worst, one) ? one : worst,
    undefined,
  );
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  const workspaces = new Map<string, QueuedRequest[]>();
  let size = 0;

  function insert(request: QueuedRequest): void {
    const list = workspaces.get(request.workspace) ?? [];
    workspaces.set(request.workspace, list);
    list.push(request);
    size++;
  }

  function remove(request: QueuedRequest): boolean {
    const list = workspaces.get(request.workspace) ?? [];
    const index = list.indexOf(request);
    if (index < 0) {
      return false;
    }
    list.splice(index, 1);
    if (list.length === 0) {
      workspaces.delete(request.workspace);
    }
    size--;
    return true;
  }

  function findLongestList(): QueuedRequest[] {
    let result: QueuedRequest[] = [];
    for (const list of workspaces.values()) {
      if (list.length > result.length) {
        result = list;
      }
    }
    return result;
  }

  /** Returns the request that a new one may evict from a full queue. */
  function findEvictable(request: QueuedRequest): QueuedRequest | undefined {
    const ownList = workspaces.get(request.workspace) ?? [];
    const longestList = findLongestList();
    if (longestList.length > ownList.length + 1) {
      return lastOf(longestList);
    }
    const last = lastOf(ownList);
    return last && hasPriorityOver(request, last) ? last : undefined;
  }

  return {
    get size() {
      return size;
    },
    add(request, limit) {
      if (size < limit) {
        insert(request);
        return true;
      }
      const evicted = findEvictable(request);
      if (!evicted) {
        return false;
      }
      remove(evicted);
      evicted.refuse();
      insert(request);
      return true;
    },
    take(runningOf) {
      let best: QueuedRequest | undefined;
      let bestRunning = Infinity;
      for (const [workspace, list] of workspaces) {
        const first = firstOf(list.filter((one) => one.mayStart()));
        if (!first) {
          continue;
        }
        const running = runningOf(workspace);
        const earlier = best === undefined || goesBefore(first, best);
        if (running < bestRunning || (running === bestRunning && earlier)) {
          best = first;
          bestRunning = running;
        }
      }
      if (best) {
        remove(best);
      }
      return best;
    },
    countAhead(request, runningOf) {
      const ownRunning = runningOf(request.workspace);
      const startable = request.mayStart();
      let count = 0;
      for (const [workspace, all] of workspaces) {
        const list = startable ? all.filter((one) => one.mayStart()) : all;
        // Another workspace goes first until it has as many running requests.
        count += workspace === request.workspace
          ? list.filter((one) => goesBefore(one, request)).length
          : Math.min(
            list.length,
            Math.max(0, ownRunning - runningOf(workspace)),
          );
      }
      return count;
    },
    remove,
    drain() {
      const all = [...workspaces.values()].flat();
      workspaces.clear();
      size = 0;
      return all;
    },
  };
}
