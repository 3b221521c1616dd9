/**
 * Finds one of the site's routes by host and the longest path prefix.
 * @module
 */
import type { RouteTable } from "../control/view.ts";
import type { Target } from "../settings/site.ts";

/** One of the site's routes. */
export type NamedPrefixRoute = RouteTable["prefixes"][number];

/** The site's routes, indexed by host and path prefix. */
export interface PrefixTable {
  /** Finds the route of a request; `path` excludes the query string. */
  find(host: string, path: string): NamedPrefixRoute | undefined;
}

/** Returns a host in lower case and without its port. */
function normalizeHost(host: string): string {
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
      const prefixes = hosts.get(normalizeHost(host));
      if (!prefixes) {
        return undefined;
      }
      // Every prefix ends with a slash, so only those positions are tried.
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
 * Picks one of a route's services by weight; `randomFraction` returns a random
 * number from 0 to 1. If all weights are 0, every service is equally likely.
 */
export function pickTarget(
  targets: readonly Target[],
  randomFraction: () => number,
): Target {
  if (targets.length === 1) {
    return targets[0];
  }
  const largest = Math.max(...targets.map((target) => target.weight));
  if (largest <= 0) {
    return targets[Math.floor(randomFraction() * targets.length)];
  }
  // Relative to the largest, the sum of the weights is a number as well.
  const totalWeight = targets.reduce(
    (sum, target) => sum + target.weight / largest,
    0,
  );
  let remaining = randomFraction() * totalWeight;
  for (const target of targets) {
    remaining -= target.weight / largest;
    if (remaining < 0) {
      return target;
    }
  }
  return targets.findLast((target) => target.weight > 0)!;
}
