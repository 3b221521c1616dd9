/**
 * Rules for the routes of a site that a schema cannot express: no two routes
 * match the same requests, each leads to services that exist, and only
 * repeatable routes are hedged.
 * @module
 */
import type { Site } from "./site.ts";

/** Violation of a rule by a route. */
export interface RouteViolation {
  /** Dotted key of the value that violates the rule. */
  key: string;
  found: string;
  expected: string;
}

function findServiceRouteViolations(site: Site): RouteViolation[] {
  const owners = new Map<string, string>();
  const violations: RouteViolation[] = [];
  for (const [serviceName, service] of Object.entries(site.services)) {
    for (const [routeName, route] of Object.entries(service.routes)) {
      const key = `services.${serviceName}.routes.${routeName}`;
      const pattern = `${route.method} ${route.path}`;
      const owner = owners.get(pattern);
      if (owner) {
        violations.push({
          key: `${key}.path`,
          found: `"${pattern}", which ${owner} has too`,
          expected: "each method and path once",
        });
      }
      owners.set(pattern, key);
      if (route.hedge && !route.repeatable) {
        violations.push({
          key: `${key}.hedge`,
          found: "true",
          expected: "false, since the route is not repeatable",
        });
      }
    }
  }
  return violations;
}

function findPrefixRouteViolations(site: Site): RouteViolation[] {
  const owners = new Map<string, string>();
  const violations: RouteViolation[] = [];
  for (const [name, route] of Object.entries(site.routes)) {
    const key = `routes.${name}`;
    const hostAndPrefix = `${route.host}${route.prefix}`;
    const owner = owners.get(hostAndPrefix);
    if (owner !== undefined) {
      violations.push({
        key: `${key}.prefix`,
        found: `"${hostAndPrefix}", which ${owner} has too`,
        expected: "each host and prefix once",
      });
    }
    owners.set(hostAndPrefix, key);
    for (const { service } of route.targets) {
      if (!Object.hasOwn(site.services, service)) {
        violations.push({
          key: `${key}.targets`,
          found: `"${service}"`,
          expected: "a service of this site",
        });
      }
    }
  }
  return violations;
}

/** Returns all violations of the route rules in a site. */
export function findRouteViolations(site: Site): RouteViolation[] {
  return [
    ...findServiceRouteViolations(site),
    ...findPrefixRouteViolations(site),
  ];
}
