/**
 * Versions of the accepted configuration: which change made each of them, and
 * which change loses against one that came before.
 * @module
 */
import type {
  AcceptedChange,
  Action,
  Change,
  ChangeResult,
  Difference,
} from "./commands.ts";

/** Accepted changes kept in history. */
export const MAX_HISTORY = 10_000;

/** History as a snapshot keeps it. */
export interface StoredHistory {
  version: number;
  /** The operators' own number of the configuration, 0 for none. */
  number: number;
  history: AcceptedChange[];
}

/** Accepted changes, and the version that they have led to. */
export interface History {
  readonly version: number;
  readonly number: number;
  /** Accepted changes, newest last, at most {@link MAX_HISTORY}. */
  readonly changes: AcceptedChange[];
  /** Returns the conflict, if a change was made on top of another state. */
  conflict(change: Change): ChangeResult | undefined;
  /** Adds a change that was performed. */
  accept(change: Change, differences: Difference[]): ChangeResult;
}

function targetOf(action: Action): string {
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

/** Creates a history from a snapshot's. */
export function createHistory(stored: StoredHistory): History {
  const changes = stored.history;
  let { version, number } = stored;

  function conflicts({ against, numbering }: Change): boolean {
    return (against !== undefined && against !== version) ||
      (numbering !== undefined && numbering.after !== number);
  }

  return {
    get version() {
      return version;
    },
    get number() {
      return number;
    },
    changes,
    conflict(change) {
      const { against } = change;
      return !conflicts(change) ? undefined : {
        kind: "conflict",
        version,
        winner: against === undefined
          ? undefined
          : changes.find((entry) => entry.version === against + 1),
      };
    },
    accept(change, differences) {
      version++;
      number = change.numbering?.to ?? number;
      changes.push({
        version,
        changeId: change.changeId,
        operator: change.operator,
        wallTime: change.wallTime,
        action: change.action.kind,
        target: targetOf(change.action),
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
