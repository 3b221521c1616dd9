/**
 * The newest view of the site that a node has received from control or from a
 * peer. No part of it is ever replaced by a lower revision.
 * @module
 */
import type { Member } from "../control/commands.ts";
import type {
  GlobalView,
  KnownRevisions,
  ServiceView,
  View,
} from "../control/view.ts";
import type { RoutePolicy, Service } from "../settings/site.ts";
import {
  createWorkspaceDirectory,
  type WorkspaceDirectory,
  type WorkspaceLimits,
} from "../workspaces/workspace_directory.ts";
import {
  createRouteDirectory,
  type RouteMatch,
  type RouteQuery,
} from "./route_directory.ts";

export type { RouteMatch } from "./route_directory.ts";

/** The parts of a directory that changed. */
export interface DirectoryChange {
  /** Whether the global view, the route table or the workspaces changed. */
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
  /** Returns the parts that are newer than a peer's revisions. */
  newerThan(known: KnownRevisions): View;
  /** Returns the view of a subscribed service. */
  service(name: string): ServiceView | undefined;
  /** Number of backend servers at the site; 0 while unknown. */
  readonly fleetSize: number;
  /** Sets the number of backend servers at the site. */
  setFleetSize(size: number): void;
  /** Returns the names of all services to which routes lead. */
  services(): ReadonlySet<string>;
  /** Finds the route for a request. */
  route(query: RouteQuery): RouteMatch | undefined;
  /** Returns the settings of a route and of its service. */
  routeSettings(
    route: RouteMatch,
  ): { service: Service; route: RoutePolicy } | undefined;
  /** The workspaces and the digests of their keys. */
  readonly workspaces: Pick<
    WorkspaceDirectory,
    "revision" | "size" | "pages" | "findOwner"
  >;
  /** Whether the site has workspaces, but the node has not received them yet. */
  readonly lacksWorkspaces: boolean;
  /** Returns rank and limits of a workspace. */
  workspace(name: string): WorkspaceLimits | undefined;
  /** Whether a member accepts new requests according to this view. */
  inService(member: Member): boolean;
  /** Whether an operator has withdrawn a failure domain. */
  isDomainWithdrawn(domain: string): boolean;
  /** Whether an operator has withdrawn a backend server. */
  isServerWithdrawn(server: string): boolean;
  /** Calls `listener` after each change. */
  onChange(listener: (change: DirectoryChange) => void): void;
}

function isNewer(
  part: { revision: number } | undefined,
  revision: number,
): boolean {
  return part !== undefined && part.revision > revision;
}

/** Creates an empty directory. */
export function createDirectory(): Directory {
  let global: GlobalView | undefined;
  let fleetSize = 0;
  let domainsOut = new Set<string>();
  let serversOut = new Set<string>();
  const routes = createRouteDirectory();
  const workspaces = createWorkspaceDirectory();
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

  function applyRoutes({ routeTable, routeChanges }: View): boolean {
    const replaced = routeTable !== undefined && routes.replace(routeTable);
    const changed = routeChanges !== undefined && routes.change(routeChanges);
    return replaced || changed;
  }

  function applyWorkspaces(
    { workspaceTable, workspaceChanges }: View,
  ): boolean {
    return workspaceTable
      ? workspaces.replace(workspaceTable)
      : workspaceChanges !== undefined && workspaces.change(workspaceChanges);
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
        routes: routes.revision,
        services: Object.fromEntries(
          [...subscriptions].map((name) => [
            name,
            services.get(name)?.revision ?? 0,
          ]),
        ),
        takesRouteChanges: true,
        workspaces: workspaces.revision,
        workspacePages: workspaces.pages,
      };
    },
    subscribe: (service) => subscriptions.add(service),
    apply(view) {
      const tablesChanged = [applyRoutes(view), applyWorkspaces(view)];
      const change: DirectoryChange = {
        global: applyGlobal(view.global) || tablesChanged.includes(true),
        services: view.services.filter(applyService)
          .map((service) => service.service),
      };
      if (change.global || change.services.length > 0) {
        listeners.forEach((listener) => listener(change));
      }
      return change;
    },
    newerThan: (known) => ({
      global: isNewer(global, known.global) ? global : undefined,
      ...routes.newerThan(known.routes, known.takesRouteChanges ?? false),
      ...(known.workspaces === undefined
        ? {}
        : workspaces.newerThan(known.workspaces)),
      services: Object.entries(known.services).flatMap(([name, revision]) => {
        const service = services.get(name);
        return service && isNewer(service, revision) ? [service] : [];
      }),
    }),
    service: (name) => services.get(name),
    get fleetSize() {
      return fleetSize;
    },
    setFleetSize(size) {
      fleetSize = size;
    },
    services: routes.services,
    route: routes.find,
    routeSettings({ service, name, policy }) {
      const settings = services.get(service)?.settings;
      const route = policy ?? settings?.routes[name];
      return settings && route && { service: settings, route };
    },
    workspaces,
    get lacksWorkspaces() {
      return workspaces.revision === 0 && (global?.workspaces ?? 0) > 0;
    },
    workspace: workspaces.workspace,
    inService: (member) =>
      !member.leaving && !domainsOut.has(member.domain) &&
      !serversOut.has(member.server),
    isDomainWithdrawn: (domain) => domainsOut.has(domain),
    isServerWithdrawn: (server) => serversOut.has(server),
    onChange: (listener) => listeners.push(listener),
  };
}
