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
import type { Route, Service } from "../settings/site.ts";

/** A route that a request takes. */
export interface FoundRoute {
  service: string;
  name: string;
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
  /** Finds the route for a request. */
  route(method: string, path: string): FoundRoute | undefined;
  /** Returns a service's settings and one of its routes. */
  routeSettings(
    route: FoundRoute,
  ): { service: Service; route: Route } | undefined;
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
    route(method, path) {
      const found = router?.find(method as "GET", path);
      return found?.store as FoundRoute | undefined;
    },
    routeSettings({ service, name }) {
      const settings = services.get(service)?.settings;
      const route = settings?.routes[name];
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
