/**
 * The routes that a node has received, as whole tables or as changes of a table
 * that it has. They are passed on to peers in the same way.
 * @module
 */
import findMyWay from "find-my-way";
import { createKeyRevisions } from "../control/key_revisions.ts";
import type { RouteChanges, RouteTable, View } from "../control/view.ts";
import type { RoutePolicy } from "../settings/site.ts";
import {
  createPrefixTable,
  type NamedPrefixRoute,
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

/** The routes that a node has received. */
export interface RouteDirectory {
  /** Revision of the routes, 0 before the first table. */
  readonly revision: number;
  /** Replaces the routes by a newer table; returns whether it was newer. */
  replace(table: RouteTable): boolean;
  /**
   * Applies changes if they are newer than the routes and begin at a revision
   * that the node has; returns whether they were applied.
   */
  change(changes: RouteChanges): boolean;
  /**
   * Returns what a reader lacks that has the routes as of `revision`: changes if
   * it `takesChanges` and these are known, else the whole table.
   */
  newerThan(
    revision: number,
    takesChanges: boolean,
  ): Pick<View, "routeTable" | "routeChanges">;
  /** Returns the names of all services to which routes lead. */
  services(): ReadonlySet<string>;
  /** Finds the route for a request. */
  find(query: RouteQuery): RouteMatch | undefined;
}

type Router = ReturnType<typeof findMyWay>;

function createRouter(routes: RouteTable["routes"]): Router {
  const router = findMyWay({ ignoreTrailingSlash: true });
  for (const { service, name, method, path } of routes) {
    const found: RouteMatch = { service, name };
    router.on(method as "GET", path, () => {}, found);
  }
  return router;
}

/** Creates a directory without routes. */
export function createRouteDirectory(): RouteDirectory {
  const byName = new Map<string, NamedPrefixRoute>();
  const keys = createKeyRevisions({ floor: 0, set: [], removed: [] });
  let revision = 0;
  let serviceRoutes: RouteTable["routes"] = [];
  let router: Router | undefined;
  let prefixes: PrefixTable | undefined;
  /** Services to which routes lead, computed once per revision. */
  let services: ReadonlySet<string> | undefined;

  function indexPrefixes(): void {
    services = undefined;
    prefixes = createPrefixTable([...byName.values()]);
  }

  function exportTable(): RouteTable {
    return { revision, prefixes: [...byName.values()], routes: serviceRoutes };
  }

  return {
    get revision() {
      return revision;
    },
    replace(table) {
      if (table.revision <= revision) {
        return false;
      }
      revision = table.revision;
      serviceRoutes = table.routes;
      router = createRouter(serviceRoutes);
      byName.clear();
      table.prefixes.forEach((route) => byName.set(route.name, route));
      keys.restart(revision);
      indexPrefixes();
      return true;
    },
    change(changes) {
      const missesEarlier = changes.since > revision || revision === 0;
      if (missesEarlier || changes.revision <= revision) {
        return false;
      }
      revision = changes.revision;
      for (const route of changes.set) {
        byName.set(route.name, route);
        keys.set(route.name, revision);
      }
      for (const name of changes.removed) {
        byName.delete(name);
        keys.remove(name, revision);
      }
      indexPrefixes();
      return true;
    },
    newerThan(known, takesChanges) {
      if (revision <= known) {
        return {};
      }
      const changed = takesChanges ? keys.changedSince(known) : undefined;
      if (!changed) {
        return { routeTable: exportTable() };
      }
      const { set, removed } = changed;
      return {
        routeChanges: {
          since: known,
          revision,
          set: set.map((name) => byName.get(name)!),
          removed,
        },
      };
    },
    services() {
      services ??= new Set([
        ...serviceRoutes.map(({ service }) => service),
        ...[...byName.values()].flatMap(({ targets }) =>
          targets.map(({ service }) => service)
        ),
      ]);
      return services;
    },
    find({ method, host, path, randomFraction }) {
      const prefixRoute = prefixes?.find(host, path);
      if (prefixRoute) {
        const { service } = pickTarget(prefixRoute.targets, randomFraction);
        return { service, name: prefixRoute.name, policy: prefixRoute };
      }
      const found = router?.find(method as "GET", path);
      return found?.store as RouteMatch | undefined;
    },
  };
}
