/**
 * Measures how far each workspace is above its share of the slot time that was
 * used recently. The share of a workspace is what others use on average, or what it
 * usually uses if that is more.
 *
 * The load that this answers: one workspace sends several times its usual load.
 * It must wait behind the others, while a workspace that is always large must
 * not be turned away for the excess of another.
 * @module
 */
import type { Timer } from "../time/timer.ts";
import { MAX_EXCESS } from "./order.ts";

/** Recent use of slot time by workspace. */
export interface Usage {
  /** Adds slot time that a workspace uses. */
  charge(workspace: string, ms: number): void;
  /**
   * Records that a workspace holds a slot for a request that usually takes
   * `usualMs`. Returns a function that ends this; until then, the time for which
   * the slot has been held counts as use.
   */
  hold(workspace: string, usualMs: number): () => void;
  /** Returns the use of a workspace relative to its share; 1 if it is less. */
  ratioOf(workspace: string): number;
  /** Returns how far a workspace is above its share; 0 if it is not. */
  excessOf(workspace: string): number;
}

/** Use of one workspace; older use counts less. */
interface Use {
  recentMs: number;
  usualMs: number;
  updatedAt: number;
  held: number;
  /** Sum of the times at which the held slots were taken. */
  heldSince: number;
  /** Sum of the usual times of the requests that hold them. */
  heldUsualMs: number;
}

/** Time in which the weight of recent use falls to a half. */
const RECENT_HALF_LIFE_MS = 1_000;
/** Time in which the weight of a workspace's usual use falls to a half. */
const USUAL_HALF_LIFE_MS = 30_000;
/** Least age of the measurement from which a usual use is computed. */
const MIN_AGE_MS = 1_000;
/** Use above the share, as a ratio, that raises the excess by one level. */
const EXCESS_FACTOR = 1.5;
/** Time for which the sums over all workspaces are used. */
const SUMS_MAX_AGE_MS = 100;
/** Recent use below which a workspace does not take part in the sharing, in ms. */
const MIN_ACTIVE_MS = 1;
/** Ratio to its share up to which use counts as a workspace's usual one. */
const USUAL_GROWTH = 1.25;
const MAX_WORKSPACES = 1_000;

/** Returns the rate that leads to a decayed sum after `ageMs`. */
function rateOf(sumMs: number, halfLifeMs: number, ageMs: number): number {
  const fullMs = halfLifeMs / Math.LN2;
  return sumMs / (fullMs * (1 - 0.5 ** (ageMs / halfLifeMs)));
}

/** Creates a measurement without any use. */
export function createUsage(timer: Timer): Usage {
  const startedAt = timer.now();
  /** Uses by workspace, the ones updated last at the end. */
  const uses = new Map<string, Use>();
  let totalMs = 0;
  let active = 0;
  let summedAt = -Infinity;

  function decay(use: Use): Use {
    const elapsedMs = timer.now() - use.updatedAt;
    if (elapsedMs > 0) {
      use.recentMs *= 0.5 ** (elapsedMs / RECENT_HALF_LIFE_MS);
      use.usualMs *= 0.5 ** (elapsedMs / USUAL_HALF_LIFE_MS);
      use.updatedAt = timer.now();
    }
    return use;
  }

  function forgetOldest(): void {
    for (const [workspace, { held }] of uses) {
      if (held === 0) {
        uses.delete(workspace);
        return;
      }
    }
  }

  function useOf(workspace: string): Use {
    const known = uses.get(workspace);
    if (known) {
      uses.delete(workspace);
    } else if (uses.size >= MAX_WORKSPACES) {
      forgetOldest();
    }
    const use = known ?? {
      recentMs: 0,
      usualMs: 0,
      updatedAt: timer.now(),
      held: 0,
      heldSince: 0,
      heldUsualMs: 0,
    };
    uses.set(workspace, use);
    return decay(use);
  }

  function charge(workspace: string, ms: number): void {
    const use = useOf(workspace);
    const ratio = ratioOf(use);
    use.recentMs += ms;
    // Otherwise a workspace would soon be entitled to its excess.
    use.usualMs += ms * Math.min(1, USUAL_GROWTH / ratio);
  }

  /** Returns the recent use of a workspace, with that of the slots it holds. */
  function recentMsOf(use: Use): number {
    const heldMs = use.held * timer.now() - use.heldSince;
    return decay(use).recentMs + Math.max(heldMs, use.heldUsualMs);
  }

  /** Adds up the use of the workspaces that have used slots recently. */
  function sumUses(): void {
    if (timer.now() - summedAt < SUMS_MAX_AGE_MS) {
      return;
    }
    summedAt = timer.now();
    totalMs = 0;
    active = 0;
    for (const use of uses.values()) {
      const recentMs = recentMsOf(use);
      if (recentMs >= MIN_ACTIVE_MS) {
        totalMs += recentMs;
        active++;
      }
    }
  }

  /** Returns the average of what the other workspaces used recently. */
  function averageOfOthersMs(ownMs: number): number {
    sumUses();
    return active <= 1 ? Infinity : (totalMs - ownMs) / (active - 1);
  }

  /** Returns the recent use of a workspace that uses as much as it usually does. */
  function usualRecentMs({ usualMs }: Use): number {
    const ageMs = Math.max(MIN_AGE_MS, timer.now() - startedAt);
    return rateOf(usualMs, USUAL_HALF_LIFE_MS, ageMs) *
      RECENT_HALF_LIFE_MS / Math.LN2;
  }

  /** Returns the recent use of a workspace relative to its share. */
  function ratioOf(use: Use): number {
    // A workspace on its own has no one to share with.
    if (uses.size === 1) {
      return 1;
    }
    const recentMs = recentMsOf(use);
    const shareMs = Math.max(averageOfOthersMs(recentMs), usualRecentMs(use));
    return shareMs === 0 ? 1 : recentMs / shareMs;
  }

  return {
    charge,
    hold(workspace, usualMs) {
      const since = timer.now();
      const use = useOf(workspace);
      use.held++;
      use.heldSince += since;
      use.heldUsualMs += usualMs;
      return () => {
        use.held--;
        use.heldSince -= since;
        use.heldUsualMs -= usualMs;
        charge(workspace, timer.now() - since);
      };
    },
    ratioOf(workspace) {
      const use = uses.get(workspace);
      return use ? Math.max(1, ratioOf(use)) : 1;
    },
    excessOf(workspace) {
      const use = uses.get(workspace);
      const ratio = use ? ratioOf(use) : 1;
      return ratio <= EXCESS_FACTOR ? 0 : Math.min(
        MAX_EXCESS,
        Math.floor(Math.log(ratio) / Math.log(EXCESS_FACTOR)),
      );
    },
  };
}
