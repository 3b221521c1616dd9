/**
 * Control's state: the accepted configuration, withdrawals, members, claims
 * and history. It changes only by applying committed commands, and the same
 * commands give the same state on every replica.
 * @module
 */
import { Packr } from "msgpackr";
import { hashText } from "../core/hash.ts";
import type { Service, Site } from "../settings/site.ts";
import { brokenRule } from "./change_rules.ts";
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
  type RegisterResult,
} from "./commands.ts";
import { differencesBetween } from "./differences.ts";
import type { AppliedEntry, Machine } from "./machine.ts";
import type { GlobalView, RouteTable, ServiceView, View } from "./view.ts";

/** Results of changes that are kept for resends with the same change id. */
export const MAX_CHANGE_RESULTS = 10_000;
/** Accepted changes kept in history. */
export const MAX_HISTORY = 10_000;

interface StoredMember extends Member {
  revision: number;
}

interface ChangeRecord {
  /** Hash of what was asked for. */
  content: string;
  result: ChangeResult;
}

interface Stored {
  version: number;
  number: number;
  document: string;
  revision: number;
  logTime: number;
  globalRevision: number;
  routesRevision: number;
  site?: Site;
  domainsOut: string[];
  serversOut: string[];
  members: [string, StoredMember][];
  serviceRevisions: [string, number][];
  claims: [string, StoredClaim][];
  results: [string, ChangeRecord][];
  history: AcceptedChange[];
}

/** Revisions that a node already holds. */
export interface KnownRevisions {
  /** Revision of the global part, 0 for none. */
  global: number;
  /** Revision of the route table, 0 for none. */
  routes: number;
  /** Revision of each subscribed service, 0 for none. */
  services: Record<string, number>;
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

/** Returns the site's own routes, found by prefix. */
function prefixesOf(site: Site): RouteTable["prefixes"] {
  return Object.entries(site.routes).map(([name, route]) => ({
    name,
    ...route,
  }));
}

/** Returns the routes of all services of a site. */
function routesOf(site: Site): RouteTable["routes"] {
  return Object.entries(site.services).flatMap(([service, settings]) =>
    Object.entries(settings.routes).map(([name, route]) => ({
      service,
      name,
      method: route.method,
      path: route.path,
    }))
  );
}

function tableOf(site: Site): Omit<RouteTable, "revision"> {
  return { prefixes: prefixesOf(site), routes: routesOf(site) };
}

/** Drops the oldest keys of a map down to a bound. */
function trim<K, V>(map: Map<K, V>, bound: number): void {
  for (const key of map.keys()) {
    if (map.size <= bound) {
      return;
    }
    map.delete(key);
  }
}

/** Creates an empty state. */
export function createControlState(): ControlState {
  let stored = emptyState();
  let domainsOut = new Set<string>();
  let serversOut = new Set<string>();
  let members = new Map<string, StoredMember>();
  let serviceRevisions = new Map<string, number>();
  let claims = createClaimBook();
  let results = new Map<string, ChangeRecord>();

  function load(next: Stored): void {
    stored = next;
    domainsOut = new Set(stored.domainsOut);
    serversOut = new Set(stored.serversOut);
    members = new Map(stored.members);
    serviceRevisions = new Map(stored.serviceRevisions);
    claims = createClaimBook(stored.claims);
    results = new Map(stored.results);
  }

  function refusal(change: Change): ChangeResult | undefined {
    const site = stored.site;
    const { number } = stored;
    const facts = { site, members, domainsOut, serversOut, number };
    const broken = brokenRule(change, facts);
    return broken && { kind: "refused", version: stored.version, ...broken };
  }

  function configure(site: Site, index: number): Difference[] {
    const differences = differencesBetween(stored.site ?? {}, site);
    const before = stored.site?.services ?? {};
    const names = new Set([
      ...Object.keys(before),
      ...Object.keys(site.services),
    ]);
    for (const name of names) {
      const changed = differencesBetween(before[name], site.services[name]);
      if (changed.length > 0) {
        serviceRevisions.set(name, index);
      }
    }
    const routesBefore = stored.site ? tableOf(stored.site) : undefined;
    if (differencesBetween(routesBefore, tableOf(site)).length > 0) {
      stored.routesRevision = index;
    }
    stored.site = site;
    return differences;
  }

  function setOut(
    set: Set<string>,
    options: { name: string; key: string; out: boolean },
  ): Difference[] {
    const { name, key, out } = options;
    const before = set.has(name);
    if (out) {
      set.add(name);
    } else {
      set.delete(name);
    }
    return [{ key: `${key}.${name}.out`, before, after: out }];
  }

  function perform(action: Action, index: number): Difference[] {
    switch (action.kind) {
      case "configure":
        stored.document = action.document ?? "";
        return configure(action.site, index);
      case "domain_out":
      case "domain_back":
        return setOut(domainsOut, {
          name: action.domain,
          key: "domains",
          out: action.kind === "domain_out",
        });
      case "server_out":
      case "server_back":
        return setOut(serversOut, {
          name: action.server,
          key: "servers",
          out: action.kind === "server_out",
        });
    }
  }

  function accept(change: Change, index: number): ChangeResult {
    const differences = perform(change.action, index);
    stored.version++;
    stored.number = change.numbering?.to ?? stored.number;
    stored.revision = index;
    stored.globalRevision = index;
    stored.history.push({
      version: stored.version,
      changeId: change.changeId,
      operator: change.operator,
      wallTime: change.wallTime,
      action: change.action.kind,
      target: targetOf(change.action),
      forced: change.force,
      differences,
    });
    if (stored.history.length > MAX_HISTORY) {
      stored.history.shift();
    }
    return { kind: "accepted", version: stored.version };
  }

  /** Whether a change was made on top of another state than this one. */
  function conflicts({ against, numbering }: Change): boolean {
    return (against !== undefined && against !== stored.version) ||
      (numbering !== undefined && numbering.after !== stored.number);
  }

  function conflict({ against }: Change): ChangeResult {
    return {
      kind: "conflict",
      version: stored.version,
      winner: against === undefined
        ? undefined
        : stored.history.find((entry) => entry.version === against + 1),
    };
  }

  function applyChange(change: Change, index: number): ChangeResult {
    const content = hashText(JSON.stringify([
      change.operator,
      change.against,
      change.numbering,
      change.force,
      change.action,
    ]));
    const earlier = results.get(change.changeId);
    if (earlier) {
      return earlier.content === content ? earlier.result : {
        kind: "refused",
        version: stored.version,
        reason: "change_id_reused",
        detail: `change id ${change.changeId} was used for another change`,
      };
    }
    const result: ChangeResult = conflicts(change)
      ? conflict(change)
      : refusal(change) ?? accept(change, index);
    results.set(change.changeId, { content, result });
    trim(results, MAX_CHANGE_RESULTS);
    return result;
  }

  function register(
    member: Member,
    options: { expectedRevision: number; index: number },
  ): RegisterResult {
    const { expectedRevision, index } = options;
    const current = members.get(member.server);
    const sameGuard = current?.incarnation === member.incarnation;
    if (current && !sameGuard && current.revision !== expectedRevision) {
      return {
        kind: "superseded",
        revision: current.revision,
        incarnation: current.incarnation,
      };
    }
    if (current && current.service !== member.service) {
      serviceRevisions.set(current.service, index);
    }
    members.set(member.server, { ...member, revision: index });
    serviceRevisions.set(member.service, index);
    stored.revision = index;
    return { kind: "registered", revision: index };
  }

  function expire(
    command: { server: string; incarnation: string },
    index: number,
  ): boolean {
    const current = members.get(command.server);
    if (current?.incarnation !== command.incarnation) {
      return false;
    }
    members.delete(command.server);
    serviceRevisions.set(current.service, index);
    stored.revision = index;
    return true;
  }

  function execute(command: Command, entry: AppliedEntry): unknown {
    const { index, logTime } = entry;
    const bounds = stored.site?.claims;
    switch (command.kind) {
      case "change":
        return applyChange(command, index);
      case "register":
        return register(command.member, {
          expectedRevision: command.expectedRevision,
          index,
        });
      case "expire":
        return expire(command, index);
      case "claim":
        return claims.claim(command, {
          index,
          logTime,
          keepMs: bounds?.keep_ms ?? 0,
          maxClaims: bounds?.max_claims ?? 0,
        });
      case "settle":
        return claims.settle(command.key, command.claim, command.outcome);
    }
  }

  function globalView(site: Site): GlobalView {
    const { services: _services, routes: _routes, ...limits } = site;
    return {
      revision: stored.globalRevision,
      version: stored.version,
      limits,
      domainsOut: [...domainsOut].sort(),
      serversOut: [...serversOut].sort(),
    };
  }

  function serviceView(service: string): ServiceView {
    const settings: Service | undefined = stored.site?.services[service];
    return {
      service,
      revision: serviceRevisions.get(service) ?? 0,
      settings,
      members: [...members.values()]
        .filter((member) => member.service === service)
        .map(({ revision: _revision, backend: _backend, ...member }) => member),
    };
  }

  return {
    get version() {
      return stored.version;
    },
    get number() {
      return stored.number;
    },
    get document() {
      return stored.document;
    },
    get revision() {
      return stored.revision;
    },
    get site() {
      return stored.site;
    },
    get domainsOut() {
      return domainsOut;
    },
    get serversOut() {
      return serversOut;
    },
    members: () =>
      [...members.values()].map(({ revision: _revision, ...member }) => member),
    member: (server) => members.get(server),
    resultOf: (changeId) => results.get(changeId)?.result,
    history: () => stored.history,
    claimCount: () => claims.size,
    claim: (key) => claims.get(key),
    viewSince(known) {
      const site = stored.site;
      const view: View = { services: [] };
      if (site && stored.globalRevision > known.global) {
        view.global = globalView(site);
      }
      if (site && stored.routesRevision > known.routes) {
        view.routeTable = {
          revision: stored.routesRevision,
          ...tableOf(site),
        };
      }
      for (const [service, revision] of Object.entries(known.services)) {
        if ((serviceRevisions.get(service) ?? 0) > revision) {
          view.services.push(serviceView(service));
        }
      }
      return view;
    },
    apply(entry) {
      stored.logTime = entry.logTime;
      return execute(commandSchema.parse(entry.command), entry);
    },
    snapshot: () =>
      packr.pack({
        ...stored,
        domainsOut: [...domainsOut],
        serversOut: [...serversOut],
        members: [...members],
        serviceRevisions: [...serviceRevisions],
        claims: claims.entries(),
        results: [...results],
      }),
    reset: () => load(emptyState()),
    restore: (bytes) => load(packr.unpack(bytes) as Stored),
  };
}
