/**
 * The replicated state of control: the accepted configuration, withdrawals,
 * members, claims and history. It changes only by applying committed commands,
 * and is deterministic: the same commands give the same state on every replica.
 * @module
 */
import { Packr } from "msgpackr";
import type { Site } from "../settings/site.ts";
import {
  type AmendableConfiguration,
  applyAmendment,
  hashAction,
} from "./amendments.ts";
import { findViolation } from "./change_rules.ts";
import { type ChangeRecord, createChangeResults } from "./change_results.ts";
import { createClaimRegistry, type StoredClaim } from "./claims.ts";
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
import {
  createHistory,
  type StoredHistory,
  type WholeChange,
} from "./history.ts";
import type { Departure, StoredDeparture } from "./departures.ts";
import type { AppliedEntry, StateMachine } from "./machine.ts";
import { createMemberRegistry, type StoredMember } from "./members.ts";
import { createRevisions, type StoredRevisions } from "./revisions.ts";
import type { KnownRevisions, View } from "./view.ts";
import { viewSince } from "./view_since.ts";
import {
  createSuspicionRegistry,
  type ServiceSuspects,
  type StoredSuspicions,
} from "./suspicions.ts";
import { createWithdrawals, type StoredWithdrawals } from "./withdrawals.ts";

/** The state as stored in a snapshot. */
interface StoredState
  extends
    StoredHistory,
    StoredConfiguration,
    StoredRevisions,
    StoredWithdrawals {
  /** Log time of the last entry in milliseconds. */
  logTime: number;
  members: [string, StoredMember][];
  /** What has left; snapshots of earlier versions have none. */
  departures?: [string, StoredDeparture[]][];
  /** Suspected requests; snapshots of earlier versions have none. */
  suspicions?: StoredSuspicions[];
  claims: [string, StoredClaim][];
  results: [string, ChangeRecord][];
}

/** The replicated state of control, with its queries. */
export interface ControlState extends StateMachine {
  /** Version of the accepted configuration. */
  readonly version: number;
  /** Number that operators gave to the configuration, 0 for none. */
  readonly number: number;
  /** Source document of the configuration; empty if none was submitted. */
  readonly document: string;
  /** Log index of the last entry that changed a view. */
  readonly revision: number;
  /** The accepted configuration. */
  readonly site: Site | undefined;
  /** The configuration as amendments need it, if they can be made for it. */
  readonly amendable: AmendableConfiguration | undefined;
  /** Failure domains that are out of service. */
  readonly domainsOut: ReadonlySet<string>;
  /** Backend servers that are out of service. */
  readonly serversOut: ReadonlySet<string>;
  /** Returns the version of the last change to a failure domain, 0 for none. */
  domainVersion(domain: string): number;
  /** Registered backend servers. */
  members(): Member[];
  /** Returns the registration of a backend server. */
  member(server: string): Member | undefined;
  /** Returns the revision of a member's registration. */
  memberRevision(server: string): number | undefined;
  /** Returns what has left on a VM. */
  departures(server: string): Departure[];
  /** Returns the suspects of a service if they changed after a revision. */
  suspectsSince(
    known: { service: string; revision: number },
  ): ServiceSuspects | undefined;
  /** Returns the result of a change, if it is still kept. */
  findChangeResult(changeId: string): ChangeResult | undefined;
  /** Returns the accepted changes, oldest first. */
  history(): AcceptedChange[];
  /** Number of claims held. */
  claimCount(): number;
  /** Returns the claim on a key. */
  claim(key: string): StoredClaim | undefined;
  /** Returns the parts of the view that are newer than a node's revisions. */
  viewSince(known: KnownRevisions): View;
}

/** Limits of suspicions while no configuration is accepted: none is kept. */
const NO_QUARANTINE = { crashes: 1, keep_ms: 0 };

const packr = new Packr({ useRecords: false });

function emptyState(): StoredState {
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

/** Creates the components of the state; each owns its part of a snapshot. */
function createComponents(stored: StoredState) {
  const revisions = createRevisions(stored);
  return {
    revisions,
    configuration: createConfiguration(stored, revisions),
    withdrawals: createWithdrawals(stored),
    members: createMemberRegistry(stored, revisions),
    suspicions: createSuspicionRegistry(stored.suspicions ?? []),
    claims: createClaimRegistry(stored.claims),
    results: createChangeResults(stored.results),
    history: createHistory(stored),
  };
}

/** Creates an empty state. */
export function createControlState(): ControlState {
  let components = createComponents(emptyState());
  let logTime = 0;
  /** Commands that were checked before they were committed. */
  const prepared = new WeakSet<object>();

  function load(next: StoredState): void {
    components = createComponents(next);
    logTime = next.logTime;
  }

  function store(): StoredState {
    const { configuration, withdrawals, revisions, history } = components;
    return {
      version: history.version,
      number: history.number,
      ...configuration.stored(),
      ...revisions.stored(),
      logTime,
      ...withdrawals.stored(),
      members: components.members.entries(),
      departures: components.members.departureEntries(),
      suspicions: components.suspicions.entries(),
      claims: components.claims.entries(),
      results: components.results.entries(),
      history: history.changes,
    };
  }

  /**
   * Returns a change with the whole action that its amendment stands for, unless
   * the amendment was made for another configuration.
   */
  function completeChange(change: Change): WholeChange | undefined {
    const { action } = change;
    if (action.kind !== "amend") {
      return { ...change, action };
    }
    const { amendable } = components.configuration;
    return amendable?.digest === action.base
      ? { ...change, action: applyAmendment(action, amendable) }
      : undefined;
  }

  /** Whether the change's failure domain was changed after its submitter looked. */
  function isOverruled({ action, domainVersion }: Change): boolean {
    return domainVersion !== undefined && "domain" in action &&
      components.withdrawals.domainVersion(action.domain) !== domainVersion;
  }

  function findRefusal(change: WholeChange): ChangeResult | undefined {
    const { configuration, members, withdrawals, history } = components;
    const violation = findViolation(change, {
      site: configuration.site,
      members: members.all,
      domainsOut: withdrawals.domains,
      serversOut: withdrawals.servers,
      number: history.number,
    });
    return violation &&
      { kind: "refused", version: history.version, ...violation };
  }

  function performAction(
    action: Action,
    source: { index: number; digest: string },
  ): Difference[] {
    return action.kind === "configure"
      ? components.configuration.configure(action, source)
      : components.withdrawals.perform(action, components.history.version + 1);
  }

  function accept(
    change: WholeChange,
    source: { index: number; digest: string },
  ): ChangeResult {
    const differences = performAction(change.action, source);
    components.revisions.touchGlobal(source.index);
    return components.history.accept(change, differences);
  }

  function applyChange(change: Change, index: number): ChangeResult {
    const { results, history } = components;
    return results.decideOnce(change, {
      version: history.version,
      decide() {
        const conflict = history.conflict(change);
        if (conflict) {
          return conflict;
        }
        if (isOverruled(change)) {
          return history.describeConflict(change);
        }
        const whole = completeChange(change);
        const digest = hashAction(change.action);
        return whole
          ? findRefusal(whole) ?? accept(whole, { index, digest })
          : history.describeConflict(change);
      },
    });
  }

  function execute(command: Command, entry: AppliedEntry): unknown {
    const { index } = entry;
    const { members, suspicions, claims, configuration } = components;
    switch (command.kind) {
      case "change":
        return applyChange(command, index);
      case "register": {
        const { member, expectedRevision } = command;
        return members.register(member, { expectedRevision, index });
      }
      case "expire":
        return members.expire(command, index);
      case "depart":
        members.depart(command, entry);
        return true;
      case "suspicions": {
        const { crashes, keep_ms: keepMs } = configuration.site?.quarantine ??
          NO_QUARANTINE;
        suspicions.report(command, {
          index,
          logTime: entry.logTime,
          crashes,
          keepMs,
        });
        return true;
      }
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
      return components.history.version;
    },
    get number() {
      return components.history.number;
    },
    get document() {
      return components.configuration.document;
    },
    get revision() {
      return components.revisions.latest;
    },
    get site() {
      return components.configuration.site;
    },
    get amendable() {
      return components.configuration.amendable;
    },
    get domainsOut() {
      return components.withdrawals.domains;
    },
    get serversOut() {
      return components.withdrawals.servers;
    },
    domainVersion: (domain) => components.withdrawals.domainVersion(domain),
    members: () =>
      [...components.members.all.values()]
        .map(({ revision: _revision, ...member }) => member),
    member: (server) => components.members.all.get(server),
    memberRevision: (server) => components.members.all.get(server)?.revision,
    departures: (server) => components.members.departures(server),
    suspectsSince: (known) =>
      components.suspicions.changedSince(known, logTime),
    findChangeResult: (changeId) => components.results.get(changeId),
    history: () => components.history.changes,
    claimCount: () => components.claims.size,
    claim: (key) => components.claims.get(key),
    viewSince: (known) =>
      viewSince(known, { ...components, site: components.configuration.site }),
    prepare(command) {
      const checked = commandSchema.parse(command);
      prepared.add(checked);
      return checked;
    },
    apply(entry) {
      logTime = entry.logTime;
      const command = entry.command as Command;
      return execute(
        prepared.has(command) ? command : commandSchema.parse(command),
        entry,
      );
    },
    snapshot: () => packr.pack(store()),
    reset: () => load(emptyState()),
    restore: (bytes) => load(packr.unpack(bytes) as StoredState),
  };
}
