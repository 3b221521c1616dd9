/**
 * The short queue at a guard: fair between tenants, and by rank and deadline
 * within a tenant.
 * @module
 */

/** One waiting request. */
export interface Waiting {
  tenant: string;
  /** Rank; 0 goes first. */
  rank: number;
  /** Monotonic time by which it must have been answered. */
  deadlineAt: number;
  /** Starts the request. */
  start(): void;
  /** Gives the request up as not run. */
  refuse(): void;
}

/** The queue of a guard. */
export interface FairQueue {
  /** Number of requests waiting. */
  readonly size: number;
  /**
   * Adds a request. When full, room is made at the cost of the tenant with
   * most waiting, if that is another one with more; else returns `false`.
   */
  add(request: Waiting, bound: number): boolean;
  /** Takes the next request of the tenant with least running. */
  take(runningOf: (tenant: string) => number): Waiting | undefined;
  /** Removes a request; returns whether it was there. */
  remove(request: Waiting): boolean;
  /** Empties the queue. */
  drain(): Waiting[];
}

/** Whether a request goes before another: by rank, then by deadline. */
function goesBefore(one: Waiting, other: Waiting): boolean {
  return one.rank === other.rank
    ? one.deadlineAt < other.deadlineAt
    : one.rank < other.rank;
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  const tenants = new Map<string, Waiting[]>();
  let size = 0;

  function insert(request: Waiting): void {
    const list = tenants.get(request.tenant) ?? [];
    tenants.set(request.tenant, list);
    const after = list.findIndex((other) => goesBefore(request, other));
    list.splice(after < 0 ? list.length : after, 0, request);
    size++;
  }

  function remove(request: Waiting): boolean {
    const list = tenants.get(request.tenant) ?? [];
    const index = list.indexOf(request);
    if (index < 0) {
      return false;
    }
    list.splice(index, 1);
    if (list.length === 0) {
      tenants.delete(request.tenant);
    }
    size--;
    return true;
  }

  function longest(): Waiting[] {
    let result: Waiting[] = [];
    for (const list of tenants.values()) {
      if (list.length > result.length) {
        result = list;
      }
    }
    return result;
  }

  return {
    get size() {
      return size;
    },
    add(request, bound) {
      if (size < bound) {
        insert(request);
        return true;
      }
      const own = tenants.get(request.tenant)?.length ?? 0;
      const crowd = longest();
      if (crowd.length <= own + 1) {
        return false;
      }
      const evicted = crowd.at(-1)!;
      remove(evicted);
      evicted.refuse();
      insert(request);
      return true;
    },
    take(runningOf) {
      let best: Waiting | undefined;
      let bestRunning = Infinity;
      for (const [tenant, list] of tenants) {
        const running = runningOf(tenant);
        const earlier = best === undefined || goesBefore(list[0], best);
        if (running < bestRunning || (running === bestRunning && earlier)) {
          best = list[0];
          bestRunning = running;
        }
      }
      if (best) {
        remove(best);
      }
      return best;
    },
    remove,
    drain() {
      const all = [...tenants.values()].flat();
      tenants.clear();
      size = 0;
      return all;
    },
  };
}
