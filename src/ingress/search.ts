/**
 * The search of one request for a place: first at guards that may say that
 * another is better, and if all say so, or are known to be full, at the best of
 * them all the same.
 * @module
 */
import type { Member } from "../control/commands.ts";

/** Where a request is tried next. */
export interface Place {
  member: Member;
  /** Whether another guard is asked if this one refuses. */
  elsewhere: boolean;
  /** Whether its refusal, for want of a place, is the end of the search. */
  last: boolean;
}

/** Where to go if all servers are known to be full. */
export interface FullFleetPlace {
  member: Member;
  /** Estimate of the wait there, in milliseconds. */
  waitMs: number;
}

/** What is known of the servers but for some. */
export interface FleetOutlook {
  /** Whether there are some, and what they last told is of some use. */
  allKnown: boolean;
  /** The one that would begin the request first, if all are full. */
  firstFree?: FullFleetPlace;
}

/** What a search chooses by. */
export interface SearchOptions {
  /** Returns the best server but for some. */
  choose(avoid: ReadonlySet<string>): Member | undefined;
  /** Returns what is known of the servers but for some. */
  outlook?(avoid: ReadonlySet<string>): FleetOutlook;
}

/** The search of one request for a place. */
export interface Search {
  /** Backend servers that are not tried again. */
  readonly tried: Set<string>;
  /** Returns the next place, if there is one. */
  next(): Place | undefined;
  /**
   * A guard would run the request after some wait in milliseconds, but said
   * that another is better.
   */
  turnedAway(member: Member, waitMs: number): void;
  /** A guard has started again, and is known anew: it may be asked again. */
  startedAgain(member: Member): void;
}

/** Guards that may turn a request away before it stays where it is sent. */
const MAX_TURNED_AWAY = 3;
/** Guards that are asked in all. */
const MAX_PLACES = 6;
/** Exchanges that a refusal costs where all guards are known to be full. */
const MAX_PLACES_IF_FULL = 2;

/** Creates a search. */
export function createSearch(options: SearchOptions): Search {
  const { choose } = options;
  const tried = new Set<string>();
  const turnedAwayBy = new Map<Member, number>();
  let asked = 0;
  /** Whether guards are asked to run the request even if another is better. */
  let insists = false;
  /** Whether one guard was asked to decide, as enough was known. */
  let decides = false;

  function chooseNext(): Member | undefined {
    const fresh = choose(tried);
    if (fresh || turnedAwayBy.size === 0) {
      return fresh;
    }
    // Every guard has refused; those that only preferred not to are left.
    return chooseAgain();
  }

  /** Returns a guard that must decide, if all are known to be full. */
  function chooseOfFull(): Member | undefined {
    const place = options.outlook?.(tried).firstFree;
    const known = Math.min(...turnedAwayBy.values());
    return place && known <= place.waitMs ? chooseAgain() : place?.member;
  }

  /** Whether asking more guards in turn would only tell what is known. */
  function enoughIsKnown(): boolean {
    const outlook = turnedAwayBy.size > 0
      ? options.outlook?.(tried)
      : undefined;
    return outlook?.firstFree !== undefined || outlook?.allKnown === true;
  }

  /** Of the guards that turned it away, the one with the shortest wait. */
  function chooseAgain(): Member | undefined {
    insists = true;
    const [best] = [...turnedAwayBy].sort(([, one], [, other]) => one - other);
    if (!best) {
      return choose(tried);
    }
    const [member] = best;
    turnedAwayBy.delete(member);
    return member;
  }

  return {
    tried,
    next() {
      if (asked >= MAX_PLACES) {
        return undefined;
      }
      asked++;
      const exhausted = insists || turnedAwayBy.size >= MAX_TURNED_AWAY;
      const ofFull = exhausted ? undefined : chooseOfFull();
      const member = ofFull ?? (exhausted ? chooseAgain() : chooseNext());
      if (!member) {
        return undefined;
      }
      tried.add(member.server);
      decides ||= insists || ofFull !== undefined || enoughIsKnown();
      const last = insists || (decides && asked >= MAX_PLACES_IF_FULL);
      return { member, elsewhere: !decides, last };
    },
    startedAgain: (member) => tried.delete(member.server),
    turnedAway: (member, waitMs) => turnedAwayBy.set(member, waitMs),
  };
}
