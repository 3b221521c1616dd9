/**
 * History of accepted changes: which change made each version, and conflicts of
 * a change with one that was accepted before it.
 * @module
 */
import type {
  AcceptedChange,
  Action,
  Change,
  ChangeResult,
  Difference,
} from "./commands.ts";

/** Number of accepted changes kept in the history. */
export const MAX_HISTORY = 10_000;

/** The history as stored in a snapshot. */
export interface StoredHistory {
  version: number;
  /** Number that operators gave to the configuration, 0 for none. */
  number: number;
  history: AcceptedChange[];
}

/** A change whose action is complete: no amendment. */
export type WholeChange = Change & { action: Action };

/** Accepted changes, and the version that results from them. */
export interface History {
  readonly version: number;
  readonly number: number;
  /** Accepted changes, oldest first, at most {@link MAX_HISTORY}. */
  readonly changes: AcceptedChange[];
  /** Returns a conflict if a change is based on another version or number. */
  conflict(change: Change): ChangeResult | undefined;
  /** Returns the result of a change that is based on another configuration. */
  describeConflict(change: Change): ChangeResult;
  /** Records a change that was applied, as a new version. */
  accept(change: WholeChange, differences: Difference[]): ChangeResult;
}

function findTarget(action: Action): string {
  switch (action.kind) {
    case "configure":
      return action.site.name;
    case "domain_out":
    case "domain_back":
      return action.domain;
    case "server_out":
    case "server_back":
      return action.server;
  }
}

/** Creates a history from that of a snapshot. */
export function createHistory(stored: StoredHistory): History {
  const changes = stored.history;
  let { version, number } = stored;

  function isStale({ against, numbering }: Change): boolean {
    return (against !== undefined && against !== version) ||
      (numbering !== undefined && numbering.after !== number);
  }

  /** Returns the change that was accepted instead of a conflicting one. */
  function findWinner(
    { against, domainVersion, action }: Change,
  ): AcceptedChange | undefined {
    if (domainVersion !== undefined && "domain" in action) {
      return changes.find((entry) =>
        entry.version > domainVersion && entry.target === action.domain
      );
    }
    return against === undefined
      ? undefined
      : changes.find((entry) => entry.version === against + 1);
  }

  function describeConflict(change: Change): ChangeResult {
    return { kind: "conflict", version, winner: findWinner(change) };
  }

  return {
    get version() {
      return version;
    },
    get number() {
      return number;
    },
    changes,
    conflict: (change) =>
      isStale(change) ? describeConflict(change) : undefined,
    describeConflict,
    accept(change, differences) {
      version++;
      number = change.numbering?.to ?? number;
      changes.push({
        version,
        changeId: change.changeId,
        operator: change.operator,
        wallTime: change.wallTime,
        action: change.action.kind,
        target: findTarget(change.action),
        forced: change.force,
        differences,
      });
      if (changes.length > MAX_HISTORY) {
        changes.shift();
      }
      return { kind: "accepted", version };
    },
  };
}
