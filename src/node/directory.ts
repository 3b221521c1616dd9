/**
 * What a node knows of the site: the newest view it has heard, from control or
 * from a peer. Nothing in it ever goes back to a lower revision.
 * @module
 */
import findMyWay from "find-my-way";
import type { KnownRevisions } from "../control/state.ts";
import type { Member } from "../control/commands.ts";
import type {
  GlobalView,
  RouteTable,
  ServiceView,
  View,
} from "../control/view.ts";
import type { RoutePolicy, Service } from "../settings/site.ts";
import {
  createPrefixTable,
  pickTarget,
  type PrefixTable,
} from "./prefix_table.ts";

/** A route that a request takes. */
export interface FoundRoute {
  service: string;
  name: string;
  /** Settings, where the site holds them and not the service. */
  policy?: RoutePolicy;
}

/** What of a request decides about its route. */
export interface RouteQuery {
  method: string;
  /** Host that the caller names; empty if it names none. */
  host: string;
  /** Path without its query. */
  path: string;
  /** Draws a number from 0 to 1, for routes that several services share. */
  draw: () => number;
}

/** What changed in a directory. */
export interface DirectoryChange {
  /** Whether the global part changed. */
  global: boolean;
  /** Services that changed. */
  services: string[];
}

/** What a node knows of the site. */
export interface Directory {
  /** Version of the configuration in force, 0 before the first view. */
  readonly version: number;
  /** The global part, once known. */
  readonly global: GlobalView | undefined;
  /** Revisions that the node holds of what it subscribes to. */
  readonly known: KnownRevisions;
  /** Adds a subscription. */
  subscribe(service: string): void;
  /** Takes newer parts over and ignores the others. */
  apply(view: View): DirectoryChange;
  /** Returns the parts that it holds, for a peer. */
  export(services: readonly string[]): View;
  /** Returns the view of a subscribed service. */
  service(name: string): ServiceView | undefined;
  /** Number of backend servers at the site, 0 while it is unknown. */
  readonly fleetSize: number;
  /** Notes how many backend servers there are at the site. */
  noteFleetSize(size: number): void;
  /** Finds the route for a request. */
  route(query: RouteQuery): FoundRoute | undefined;
  /** Returns a service's settings and one of its routes. */
  routeSettings(
    route: FoundRoute,
  ): { service: Service; route: RoutePolicy } | undefined;
  /** Whether a member takes new work as far as is known. */
  inService(member: Member): boolean;
  /** Whether a failure domain is out. */
  domainOut(domain: string): boolean;
  /** Whether a backend server is out. */
  serverOut(server: string): boolean;
  /** Calls `listener` after each change. */
  onChange(listener: (change: DirectoryChange) => void): void;
}

type Router = ReturnType<typeof findMyWay>;

function createRouter(table: RouteTable): Router {
  const router = findMyWay({ ignoreTrailingSlash: true });
  for (const { service, name, method, path } of table.routes) {
    const found: FoundRoute = { service, name };
    router.on(method as "GET", path, () => {}, found);
  }
  return router;
}

/** Creates a directory that knows nothing yet. */
export function createDirectory(): Directory {
  let global: GlobalView | undefined;
  let routeTable: RouteTable | undefined;
  let router: Router | undefined;
  let prefixes: PrefixTable | undefined;
  let fleetSize = 0;
  let domainsOut = new Set<string>();
  let serversOut = new Set<string>();
  const services = new Map<string, ServiceView>();
  const subscriptions = new Set<string>();
  const listeners: ((change: DirectoryChange) => void)[] = [];

  function applyGlobal(next: GlobalView | undefined): boolean {
    if (!next || next.revision <= (global?.revision ?? 0)) {
      return false;
    }
    global = next;
    domainsOut = new Set(next.domainsOut);
    serversOut = new Set(next.serversOut);
    return true;
  }

  function applyRoutes(next: RouteTable | undefined): boolean {
    if (!next || next.revision <= (routeTable?.revision ?? 0)) {
      return false;
    }
    routeTable = next;
    router = createRouter(next);
    prefixes = createPrefixTable(next.prefixes);
    return true;
  }

  function applyService(next: ServiceView): boolean {
    const current = services.get(next.service)?.revision ?? 0;
    if (!subscriptions.has(next.service) || next.revision <= current) {
      return false;
    }
    services.set(next.service, next);
    return true;
  }

  return {
    get version() {
      return global?.version ?? 0;
    },
    get global() {
      return global;
    },
    get known() {
      return {
        global: global?.revision ?? 0,
        routes: routeTable?.revision ?? 0,
        services: Object.fromEntries(
          [...subscriptions].map((name) => [
            name,
            services.get(name)?.revision ?? 0,
          ]),
        ),
      };
    },
    subscribe: (service) => subscriptions.add(service),
    apply(view) {
      const routes = applyRoutes(view.routeTable);
      const change: DirectoryChange = {
        global: applyGlobal(view.global) || routes,
        services: view.services.filter(applyService)
          .map((service) => service.service),
      };
      if (change.global || change.services.length > 0) {
        listeners.forEach((listener) => listener(change));
      }
      return change;
    },
    export: (names) => ({
      global,
      routeTable,
      services: names.flatMap((name) => services.get(name) ?? []),
    }),
    service: (name) => services.get(name),
    get fleetSize() {
      return fleetSize;
    },
    noteFleetSize(size) {
      fleetSize = size;
    },
    route({ method, host, path, draw }) {
      const site = prefixes?.find(host, path);
      if (site) {
        const { service } = pickTarget(site.targets, draw);
        return { service, name: site.name, policy: site };
      }
      const found = router?.find(method as "GET", path);
      return found?.store as FoundRoute | undefined;
    },
    routeSettings({ service, name, policy }) {
      const settings = services.get(service)?.settings;
      const route = policy ?? settings?.routes[name];
      return settings && route && { service: settings, route };
    },
    inService: (member) =>
      !member.leaving && !domainsOut.has(member.domain) &&
      !serversOut.has(member.server),
    domainOut: (domain) => domainsOut.has(domain),
    serverOut: (server) => serversOut.has(server),
    onChange: (listener) => listeners.push(listener),
  };
}
