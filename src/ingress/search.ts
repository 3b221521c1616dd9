/**
 * The search of one request for a place: first at guards that may say that
 * another is better, and if all say so, at the best of them all the same.
 * @module
 */
import type { Member } from "../control/commands.ts";

/** Where a request is tried next. */
export interface Place {
  member: Member;
  /** Whether another guard is asked if this one refuses. */
  elsewhere: boolean;
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

/** Creates a search; `choose` returns the best server but for some. */
export function createSearch(
  choose: (avoid: ReadonlySet<string>) => Member | undefined,
): Search {
  const tried = new Set<string>();
  const turnedAwayBy = new Map<Member, number>();
  let asked = 0;
  /** Whether guards are asked to run the request even if another is better. */
  let insists = false;

  function chooseNext(): Member | undefined {
    const fresh = choose(tried);
    if (fresh || turnedAwayBy.size === 0) {
      return fresh;
    }
    // Every guard has refused; those that only preferred not to are left.
    return chooseAgain();
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
      const member = exhausted ? chooseAgain() : chooseNext();
      if (!member) {
        return undefined;
      }
      tried.add(member.server);
      return { member, elsewhere: !insists };
    },
    startedAgain: (member) => tried.delete(member.server),
    turnedAway: (member, waitMs) => turnedAwayBy.set(member, waitMs),
  };
}
