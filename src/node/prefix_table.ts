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

/** The routes of one host. */
interface HostRoutes {
  prefixes: Map<string, NamedPrefixRoute>;
  /** Length of the longest prefix. */
  longest: number;
}

/** Returns a host in lower case and without its port. */
function normalizeHost(host: string): string {
  return host.replace(/:\d+$/, "").toLowerCase();
}

/** Creates a table of routes. */
export function createPrefixTable(
  routes: readonly NamedPrefixRoute[],
): PrefixTable {
  const hosts = new Map<string, HostRoutes>();
  for (const route of routes) {
    const found = hosts.get(route.host) ?? { prefixes: new Map(), longest: 0 };
    found.prefixes.set(route.prefix, route);
    found.longest = Math.max(found.longest, route.prefix.length);
    hosts.set(route.host, found);
  }
  return {
    find(host, path) {
      const found = hosts.get(normalizeHost(host));
      if (!found) {
        return undefined;
      }
      const { prefixes, longest } = found;
      // Every prefix ends with a slash, so only those positions are tried, and
      // none behind the longest prefix: a client may send thousands of slashes.
      for (let end = path.lastIndexOf("/", longest - 1); end >= 0;) {
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
