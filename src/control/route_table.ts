/**
 * All routes of a site, as nodes are told of them.
 * @module
 */
import type { Site } from "../settings/site.ts";
import type { RouteTable } from "./view.ts";

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

/** Returns all routes of a site. */
export function tableOf(site: Site): Omit<RouteTable, "revision"> {
  return { prefixes: prefixesOf(site), routes: routesOf(site) };
}
