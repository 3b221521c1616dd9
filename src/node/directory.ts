/**
 * The newest view of the site that a node has received from control or from a
 * peer. No part of it is ever replaced by a lower revision.
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

/** The route that matches a request. */
export interface RouteMatch {
  service: string;
  name: string;
  /** Settings of a route that the site defines, not the service. */
  policy?: RoutePolicy;
}

/** The parts of a request that determine its route. */
export interface RouteQuery {
  method: string;
  /** Host of the request, or an empty string if it has none. */
  host: string;
  /** Path without the query string. */
  path: string;
  /** Returns a random number from 0 to 1 for traffic splits. */
  randomFraction: () => number;
}

/** The parts of a directory that changed. */
export interface DirectoryChange {
  /** Whether the global view or the route table changed. */
  global: boolean;
  /** Names of the services that changed. */
  services: string[];
}

/** A node's view of the site. */
export interface Directory {
  /** Version of the configuration in force, 0 before the first view. */
  readonly version: number;
  /** The global view, or `undefined` before the first view. */
  readonly global: GlobalView | undefined;
  /** Revisions of the parts that the node subscribes to; 0 if not received. */
  readonly known: KnownRevisions;
  /** Adds a subscription. */
  subscribe(service: string): void;
  /** Applies the parts that are newer and ignores the others. */
  apply(view: View): DirectoryChange;
  /** Returns the global view, the routes and the named services, for a peer. */
  export(services: readonly string[]): View;
  /** Returns the view of a subscribed service. */
  service(name: string): ServiceView | undefined;
  /** Number of backend servers at the site; 0 while unknown. */
  readonly fleetSize: number;
  /** Sets the number of backend servers at the site. */
  setFleetSize(size: number): void;
  /** Finds the route for a request. */
  route(query: RouteQuery): RouteMatch | undefined;
  /** Returns the settings of a route and of its service. */
  routeSettings(
    route: RouteMatch,
  ): { service: Service; route: RoutePolicy } | undefined;
  /** Whether a member accepts new requests according to this view. */
  inService(member: Member): boolean;
  /** Whether an operator has withdrawn a failure domain. */
  isDomainWithdrawn(domain: string): boolean;
  /** Whether an operator has withdrawn a backend server. */
  isServerWithdrawn(server: string): boolean;
  /** Calls `listener` after each change. */
  onChange(listener: (change: DirectoryChange) => void): void;
}

type Router = ReturnType<typeof findMyWay>;

function createRouter(table: RouteTable): Router {
  const router = findMyWay({ ignoreTrailingSlash: true });
  for (const { service, name, method, path } of table.routes) {
    const found: RouteMatch = { service, name };
    router.on(method as "GET", path, () => {}, found);
  }
  return router;
}

/** Creates an empty directory. */
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
    setFleetSize(size) {
      fleetSize = size;
    },
    route({ method, host, path, randomFraction }) {
      const prefixRoute = prefixes?.find(host, path);
      if (prefixRoute) {
        const { service } = pickTarget(prefixRoute.targets, randomFraction);
        return { service, name: prefixRoute.name, policy: prefixRoute };
      }
      const found = router?.find(method as "GET", path);
      return found?.store as RouteMatch | undefined;
    },
    routeSettings({ service, name, policy }) {
      const settings = services.get(service)?.settings;
      const route = policy ?? settings?.routes[name];
      return settings && route && { service: settings, route };
    },
    inService: (member) =>
      !member.leaving && !domainsOut.has(member.domain) &&
      !serversOut.has(member.server),
    isDomainWithdrawn: (domain) => domainsOut.has(domain),
    isServerWithdrawn: (server) => serversOut.has(server),
    onChange: (listener) => listeners.push(listener),
  };
}
