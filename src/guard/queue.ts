/**
 * The short queue at a guard: fair between tenants, and within a tenant by
 * rank, by what a request is worth for the time it takes, and by deadline.
 *
 * Answers a load above what the server can do: its time goes to requests that
 * it still serves in time, and at the same rank to many short ones rather than
 * to one long one. Short ones are often calls of requests that already run,
 * whose work is lost with the call.
 * @module
 */

/** How a request stands among others. */
export interface Standing {
  tenant: string;
  /** Rank; 0 goes first. */
  rank: number;
  /** Monotonic time by which it must have been answered. */
  deadlineAt: number;
  /** Time that such a request usually takes, in ms; 0 while unknown. */
  usualMs: number;
  /** Whether it would be answered within its objective if it began now. */
  inTime(): boolean;
  /** Whether it may begin now. */
  fits(): boolean;
}

/** One waiting request. */
export interface Waiting extends Standing {
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
   * most waiting, if that is another one with more, or of the tenant's own
   * last request, if the new one is worth more; else returns `false`.
   */
  add(request: Waiting, bound: number): boolean;
  /** Takes the next request that fits, of the tenant with least running. */
  take(runningOf: (tenant: string) => number): Waiting | undefined;
  /**
   * Number of waiting requests that go before one that would be added. What is
   * held back does not stand before what may begin now.
   */
  countBefore(
    request: Standing,
    runningOf: (tenant: string) => number,
  ): number;
  /** Removes a request; returns whether it was there. */
  remove(request: Waiting): boolean;
  /** Empties the queue. */
  drain(): Waiting[];
}

/** Factor between the times of requests that count as of different size. */
const SIZE_STEP = 4;
/** Sizes by which a request that can't be in time any more stands behind. */
const LATE_STEPS = 1.5;

/** Size of a request in steps; more is worth less for the time it takes. */
function costSteps({ usualMs, inTime }: Standing): number {
  const size = Math.log(Math.max(1, usualMs)) / Math.log(SIZE_STEP);
  return Math.round(size) + (inTime() ? 0 : LATE_STEPS);
}

/** Whether a request is worth more than another, whatever their deadlines. */
function outranks(one: Standing, other: Standing): boolean {
  return one.rank === other.rank
    ? costSteps(one) < costSteps(other)
    : one.rank < other.rank;
}

/** Whether a request goes before another of the same tenant. */
function goesBefore(one: Standing, other: Standing): boolean {
  if (outranks(one, other) || outranks(other, one)) {
    return outranks(one, other);
  }
  return one.deadlineAt < other.deadlineAt;
}

function firstOf(list: readonly Waiting[]): Waiting | undefined {
  return list.reduce<Waiting | undefined>(
    (best, one) => best === undefined || goesBefore(one, best) ? one : best,
    undefined,
  );
}

function lastOf(list: readonly Waiting[]): Waiting | undefined {
  return list.reduce<Waiting | undefined>(
    (worst, one) => worst === undefined || goesBefore(worst, one) ? one : worst,
    undefined,
  );
}

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
  const tenants = new Map<string, Waiting[]>();
  let size = 0;

  function insert(request: Waiting): void {
    const list = tenants.get(request.tenant) ?? [];
    tenants.set(request.tenant, list);
    list.push(request);
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

  /** Returns whom a request may replace in a full queue. */
  function evictedBy(request: Waiting): Waiting | undefined {
    const own = tenants.get(request.tenant) ?? [];
    const crowd = longest();
    if (crowd.length > own.length + 1) {
      return lastOf(crowd);
    }
    const last = lastOf(own);
    return last && outranks(request, last) ? last : undefined;
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
      const evicted = evictedBy(request);
      if (!evicted) {
        return false;
      }
      remove(evicted);
      evicted.refuse();
      insert(request);
      return true;
    },
    take(runningOf) {
      let best: Waiting | undefined;
      let bestRunning = Infinity;
      for (const [tenant, list] of tenants) {
        const first = firstOf(list.filter((one) => one.fits()));
        if (!first) {
          continue;
        }
        const running = runningOf(tenant);
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
    countBefore(request, runningOf) {
      const own = runningOf(request.tenant);
      const mayBegin = request.fits();
      let count = 0;
      for (const [tenant, all] of tenants) {
        const list = mayBegin ? all.filter((one) => one.fits()) : all;
        // Others go first until as much of theirs runs.
        count += tenant === request.tenant
          ? list.filter((one) => goesBefore(one, request)).length
          : Math.min(list.length, Math.max(0, own - runningOf(tenant)));
      }
      return count;
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
