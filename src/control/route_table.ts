/**
 * The route table of a site, as sent to nodes.
 * @module
 */
import type { Site } from "../settings/site.ts";
import type { RouteTable } from "./view.ts";

/** Returns the routes of the site itself, which match by path prefix. */
function listPrefixRoutes(site: Site): RouteTable["prefixes"] {
  return Object.entries(site.routes).map(([name, route]) => ({
    name,
    ...route,
  }));
}

/** Returns the routes of all services of a site. */
export function listServiceRoutes(site: Site): RouteTable["routes"] {
  return Object.entries(site.services).flatMap(([service, settings]) =>
    Object.entries(settings.routes).map(([name, route]) => ({
      service,
      name,
      method: route.method,
      path: route.path,
    }))
  );
}

/** Returns the route table of a site. */
export function buildRouteTable(site: Site): Omit<RouteTable, "revision"> {
  return { prefixes: listPrefixRoutes(site), routes: listServiceRoutes(site) };
}
