/**
 * Control's state: the accepted configuration, withdrawals, members, claims
 * and history. It changes only by applying committed commands, and the same
 * commands give the same state on every replica.
 * @module
 */
import { Packr } from "msgpackr";
import type { Site } from "../settings/site.ts";
import { brokenRule } from "./change_rules.ts";
import { type ChangeRecord, createChangeResults } from "./change_results.ts";
import { createClaimBook, type StoredClaim } from "./claims.ts";
import {
  type AcceptedChange,
  type Action,
  type Change,
  type ChangeResult,
  type Command,
  commandSchema,
  type Difference,
  type Member,
} from "./commands.ts";
import {
  createConfiguration,
  type StoredConfiguration,
} from "./configuration.ts";
import { createHistory, type StoredHistory } from "./history.ts";
import type { AppliedEntry, Machine } from "./machine.ts";
import { createMemberBook, type StoredMember } from "./members.ts";
import { createRevisions, type StoredRevisions } from "./revisions.ts";
import type { View } from "./view.ts";
import { type KnownRevisions, viewSince } from "./view_since.ts";
import { createWithdrawals, type StoredWithdrawals } from "./withdrawals.ts";

export type { KnownRevisions } from "./view_since.ts";

/** The state as a snapshot keeps it. */
interface Stored
  extends
    StoredHistory,
    StoredConfiguration,
    StoredRevisions,
    StoredWithdrawals {
  /** Log time of the last entry in milliseconds. */
  logTime: number;
  members: [string, StoredMember][];
  claims: [string, StoredClaim][];
  results: [string, ChangeRecord][];
}

/** Control's state and the questions that can be asked of it. */
export interface ControlState extends Machine {
  /** Version of the accepted configuration. */
  readonly version: number;
  /** The operators' own number of the configuration, 0 for none. */
  readonly number: number;
  /** What the configuration was made from; empty if nothing was given. */
  readonly document: string;
  /** Log index of the last entry that changed a view. */
  readonly revision: number;
  /** The accepted configuration. */
  readonly site: Site | undefined;
  /** Failure domains that are out. */
  readonly domainsOut: ReadonlySet<string>;
  /** Backend servers that are out. */
  readonly serversOut: ReadonlySet<string>;
  /** Registered backend servers. */
  members(): Member[];
  /** Returns the registration of a backend server. */
  member(server: string): Member | undefined;
  /** Returns what became of a change, if it is remembered. */
  resultOf(changeId: string): ChangeResult | undefined;
  /** Returns accepted changes, newest last. */
  history(): AcceptedChange[];
  /** Number of claims held. */
  claimCount(): number;
  /** Returns the claim on a key. */
  claim(key: string): StoredClaim | undefined;
  /** Returns the parts of the view newer than what a node holds. */
  viewSince(known: KnownRevisions): View;
}

const packr = new Packr({ useRecords: false });

function emptyState(): Stored {
  return {
    version: 0,
    number: 0,
    document: "",
    revision: 0,
    logTime: 0,
    globalRevision: 0,
    routesRevision: 0,
    domainsOut: [],
    serversOut: [],
    members: [],
    serviceRevisions: [],
    claims: [],
    results: [],
    history: [],
  };
}

/** The parts of the state, each of which owns what it stores. */
function createBooks(stored: Stored) {
  const revisions = createRevisions(stored);
  return {
    revisions,
    configuration: createConfiguration(stored, revisions),
    withdrawals: createWithdrawals(stored),
    members: createMemberBook(stored.members, revisions),
    claims: createClaimBook(stored.claims),
    results: createChangeResults(stored.results),
    history: createHistory(stored),
  };
}

/** Creates an empty state. */
export function createControlState(): ControlState {
  let books = createBooks(emptyState());
  let logTime = 0;

  function load(next: Stored): void {
    books = createBooks(next);
    logTime = next.logTime;
  }

  function store(): Stored {
    const { configuration, withdrawals, revisions, history } = books;
    return {
      version: history.version,
      number: history.number,
      ...configuration.stored(),
      ...revisions.stored(),
      logTime,
      ...withdrawals.stored(),
      members: books.members.entries(),
      claims: books.claims.entries(),
      results: books.results.entries(),
      history: history.changes,
    };
  }

  function refusal(change: Change): ChangeResult | undefined {
    const { configuration, members, withdrawals, history } = books;
    const broken = brokenRule(change, {
      site: configuration.site,
      members: members.all,
      domainsOut: withdrawals.domains,
      serversOut: withdrawals.servers,
      number: history.number,
    });
    return broken && { kind: "refused", version: history.version, ...broken };
  }

  function perform(action: Action, index: number): Difference[] {
    return action.kind === "configure"
      ? books.configuration.configure(action, index)
      : books.withdrawals.perform(action);
  }

  function accept(change: Change, index: number): ChangeResult {
    const differences = perform(change.action, index);
    books.revisions.touchGlobal(index);
    return books.history.accept(change, differences);
  }

  function applyChange(change: Change, index: number): ChangeResult {
    const { results, history } = books;
    return results.once(change, {
      version: history.version,
      decide: () =>
        history.conflict(change) ?? refusal(change) ?? accept(change, index),
    });
  }

  function execute(command: Command, entry: AppliedEntry): unknown {
    const { index } = entry;
    const { members, claims, configuration } = books;
    switch (command.kind) {
      case "change":
        return applyChange(command, index);
      case "register": {
        const { member, expectedRevision } = command;
        return members.register(member, { expectedRevision, index });
      }
      case "expire":
        return members.expire(command, index);
      case "claim": {
        const bounds = configuration.site?.claims;
        return claims.claim(command, {
          index,
          logTime: entry.logTime,
          keepMs: bounds?.keep_ms ?? 0,
          maxClaims: bounds?.max_claims ?? 0,
        });
      }
      case "settle":
        return claims.settle(command.key, command.claim, command.outcome);
    }
  }

  return {
    get version() {
      return books.history.version;
    },
    get number() {
      return books.history.number;
    },
    get document() {
      return books.configuration.document;
    },
    get revision() {
      return books.revisions.latest;
    },
    get site() {
      return books.configuration.site;
    },
    get domainsOut() {
      return books.withdrawals.domains;
    },
    get serversOut() {
      return books.withdrawals.servers;
    },
    members: () =>
      [...books.members.all.values()]
        .map(({ revision: _revision, ...member }) => member),
    member: (server) => books.members.all.get(server),
    resultOf: (changeId) => books.results.get(changeId),
    history: () => books.history.changes,
    claimCount: () => books.claims.size,
    claim: (key) => books.claims.get(key),
    viewSince: (known) =>
      viewSince(known, { ...books, site: books.configuration.site }),
    apply(entry) {
      logTime = entry.logTime;
      return execute(commandSchema.parse(entry.command), entry);
    },
    snapshot: () => packr.pack(store()),
    reset: () => load(emptyState()),
    restore: (bytes) => load(packr.unpack(bytes) as Stored),
  };
}
