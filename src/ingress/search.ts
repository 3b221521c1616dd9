/**
 * Determines the order in which the guards of backend servers are asked to run
 * one request. The first guards may turn the request away in favour of another
 * server. If all do so or are known to be full, the guard with the shortest
 * wait is asked, and has to accept or refuse the request.
 * @module
 */
import type { Member } from "../control/commands.ts";

/** The server to which a request is sent next. */
export interface Target {
  member: Member;
  /** Whether the guard may turn the request away to another server. */
  elsewhere: boolean;
  /** Whether the search ends if this guard refuses for lack of capacity. */
  last: boolean;
}

/** The server to choose while all servers are known to be full. */
export interface FullServer {
  member: Member;
  /** Estimated wait before the server starts the request. */
  waitMs: number;
}

/** Load of the servers that have not been excluded. */
export interface FleetState {
  /** Whether there are such servers and all have a recent load report. */
  allReported: boolean;
  /** Server that would start the request first, if all are full. */
  earliest?: FullServer;
}

/** Options of {@link createSearch}. */
export interface SearchOptions {
  /** Returns the best server that is not in `avoid`. */
  choose(avoid: ReadonlySet<string>): Member | undefined;
  /** Returns the load of the servers that are not in `avoid`. */
  fleetState?(avoid: ReadonlySet<string>): FleetState;
  /**
   * Whether guards refused many requests for the service a moment ago. Then a
   * guard that turns the request away is taken for one of many full ones, although
   * few of them have been asked lately.
   */
  wasOverloaded?(): boolean;
}

/** The search for a server that runs one request. */
export interface Search {
  /** Backend servers that were tried already. */
  readonly tried: Set<string>;
  /** Returns the next server to ask, if there is one. */
  next(): Target | undefined;
  /**
   * Records that a guard turned the request away in favour of another server.
   * `waitMs` is the wait after which it would run the request itself.
   */
  turnedAway(member: Member, waitMs: number): void;
  /**
   * Asks a guard that turned out to have restarted once more, under its new
   * incarnation, before any other: its refusal says nothing of its capacity.
   */
  restarted(member: Member): void;
}

/** Guards that may turn a request away before one has to accept or refuse. */
const MAX_TURNED_AWAY = 3;
/** Guards that are asked in total. */
const MAX_ASKED = 6;
/**
 * Guards that are asked before a refusal is final if all are known to be full.
 */
const MAX_ASKED_IF_FULL = 2;

/** Creates a search. */
export function createSearch(options: SearchOptions): Search {
  const { choose } = options;
  const tried = new Set<string>();
  const turnedAwayBy = new Map<Member, number>();
  const restarted = new Set<string>();
  let askedCount = 0;
  let lastTarget: Target | undefined;
  /** The last target, if it is to be asked once more. */
  let repeated: Target | undefined;
  /** Whether guards that turned the request away are asked again. */
  let askingAgain = false;
  /** Whether a guard may no longer turn the request away to another server. */
  let mustDecide = false;

  function chooseUntried(): Member | undefined {
    const untried = choose(tried);
    if (untried || turnedAwayBy.size === 0) {
      return untried;
    }
    // All guards were asked; only those that turned the request away are left.
    return chooseAmongTurnedAway();
  }

  /** Returns the guard with the shortest wait if all are known to be full. */
  function chooseAmongFull(): Member | undefined {
    const earliest = options.fleetState?.(tried).earliest;
    const shortestWaitMs = Math.min(...turnedAwayBy.values());
    return earliest && shortestWaitMs <= earliest.waitMs
      ? chooseAmongTurnedAway()
      : earliest?.member;
  }

  /** Returns whether asking further guards would reveal nothing new. */
  function isFleetStateKnown(): boolean {
    if (turnedAwayBy.size > 0 && options.wasOverloaded?.()) {
      return true;
    }
    const fleetState = turnedAwayBy.size > 0
      ? options.fleetState?.(tried)
      : undefined;
    return fleetState?.earliest !== undefined ||
      fleetState?.allReported === true;
  }

  /**
   * Returns the guard with the shortest wait that turned the request away, or an
   * untried guard if there is none.
   */
  function chooseAmongTurnedAway(): Member | undefined {
    askingAgain = true;
    const [best] = [...turnedAwayBy].sort(([, left], [, right]) =>
      left - right
    );
    if (!best) {
      return choose(tried);
    }
    const [member] = best;
    turnedAwayBy.delete(member);
    return member;
  }

  /** Returns the next server that was not asked, or is asked again. */
  function chooseTarget(): Target | undefined {
    if (askedCount >= MAX_ASKED) {
      return undefined;
    }
    askedCount++;
    const exhausted = askingAgain || turnedAwayBy.size >= MAX_TURNED_AWAY;
    const fullMember = exhausted ? undefined : chooseAmongFull();
    const member = fullMember ??
      (exhausted ? chooseAmongTurnedAway() : chooseUntried());
    if (!member) {
      return undefined;
    }
    tried.add(member.server);
    mustDecide ||= askingAgain || fullMember !== undefined ||
      isFleetStateKnown();
    const last = askingAgain ||
      (mustDecide && askedCount >= MAX_ASKED_IF_FULL);
    return { member, elsewhere: !mustDecide, last };
  }

  return {
    tried,
    next() {
      const target = repeated ?? chooseTarget();
      repeated = undefined;
      lastTarget = target;
      return target;
    },
    restarted(member) {
      if (restarted.has(member.server) || !lastTarget) {
        tried.delete(member.server);
        return;
      }
      restarted.add(member.server);
      repeated = { ...lastTarget, member };
    },
    turnedAway: (member, waitMs) => turnedAwayBy.set(member, waitMs),
  };
}
