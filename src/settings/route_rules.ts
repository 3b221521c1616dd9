/**
 * Rules between the routes of a site: no two may claim the same requests, and
 * each leads to services that exist.
 * @module
 */
import type { Site } from "./site.ts";

/** A rule that a route breaks. */
export interface BrokenRouteRule {
  /** Dotted key of the value that breaks it. */
  key: string;
  found: string;
  expected: string;
}

function serviceRouteRules(site: Site): BrokenRouteRule[] {
  const owners = new Map<string, string>();
  const broken: BrokenRouteRule[] = [];
  for (const [serviceName, service] of Object.entries(site.services)) {
    for (const [routeName, route] of Object.entries(service.routes)) {
      const key = `services.${serviceName}.routes.${routeName}`;
      const pattern = `${route.method} ${route.path}`;
      const owner = owners.get(pattern);
      if (owner) {
        broken.push({
          key: `${key}.path`,
          found: `"${pattern}", which ${owner} has too`,
          expected: "each method and path once",
        });
      }
      owners.set(pattern, key);
      if (route.hedge && !route.repeatable) {
        broken.push({
          key: `${key}.hedge`,
          found: "true",
          expected: "false, since the route is not repeatable",
        });
      }
    }
  }
  return broken;
}

function prefixRouteRules(site: Site): BrokenRouteRule[] {
  const owners = new Map<string, string>();
  const broken: BrokenRouteRule[] = [];
  for (const [name, route] of Object.entries(site.routes)) {
    const key = `routes.${name}`;
    const place = `${route.host}${route.prefix}`;
    const owner = owners.get(place);
    if (owner !== undefined) {
      broken.push({
        key: `${key}.prefix`,
        found: `"${place}", which ${owner} has too`,
        expected: "each host and prefix once",
      });
    }
    owners.set(place, key);
    for (const { service } of route.targets) {
      if (!Object.hasOwn(site.services, service)) {
        broken.push({
          key: `${key}.targets`,
          found: `"${service}"`,
          expected: "a service of this site",
        });
      }
    }
  }
  return broken;
}

/** Returns every rule between routes that a site breaks. */
export function brokenRouteRules(site: Site): BrokenRouteRule[] {
  return [...serviceRouteRules(site), ...prefixRouteRules(site)];
}
