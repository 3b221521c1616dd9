/**
 * Finds a site's route by host and the longest path prefix.
 * @module
 */
import type { RouteTable } from "../control/view.ts";
import type { Target } from "../settings/site.ts";

/** One of the site's routes. */
export type NamedPrefixRoute = RouteTable["prefixes"][number];

/** The site's routes by host and prefix. */
export interface PrefixTable {
  /** Finds the route of a request; `path` is without its query. */
  find(host: string, path: string): NamedPrefixRoute | undefined;
}

/** Returns a host in lower case and without its port. */
function hostName(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

/** Creates a table of routes. */
export function createPrefixTable(
  routes: readonly NamedPrefixRoute[],
): PrefixTable {
  const hosts = new Map<string, Map<string, NamedPrefixRoute>>();
  for (const route of routes) {
    const prefixes = hosts.get(route.host) ?? new Map();
    prefixes.set(route.prefix, route);
    hosts.set(route.host, prefixes);
  }
  return {
    find(host, path) {
      const prefixes = hosts.get(hostName(host));
      if (!prefixes) {
        return undefined;
      }
      // Every prefix ends with a slash, so only those places are tried.
      for (let end = path.lastIndexOf("/"); end >= 0;) {
        const route = prefixes.get(path.slice(0, end + 1));
        if (route) {
          return route;
        }
        end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
      }
      return undefined;
    },
  };
}

/**
 * Picks one of a route's services by weight; `draw` gives a random number from
 * 0 to 1. Without any weight all are alike.
 */
export function pickTarget(
  targets: readonly Target[],
  draw: () => number,
): Target {
  if (targets.length === 1) {
    return targets[0];
  }
  const total = targets.reduce((sum, target) => sum + target.weight, 0);
  if (total <= 0) {
    return targets[Math.floor(draw() * targets.length)];
  }
  let left = draw() * total;
  for (const target of targets) {
    left -= target.weight;
    if (left < 0) {
      return target;
    }
  }
  return targets.findLast((target) => target.weight > 0)!;
}
