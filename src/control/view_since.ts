/**
 * Selection of the parts of the view that are newer than a node's revisions.
 * @module
 */
import type { Service, Site } from "../settings/site.ts";
import type { History } from "./history.ts";
import type { MemberRegistry } from "./members.ts";
import type { Revisions } from "./revisions.ts";
import { buildRouteTable } from "./route_table.ts";
import type { GlobalView, ServiceView, View } from "./view.ts";
import type { Withdrawals } from "./withdrawals.ts";

/** Revisions of the view that a node already has. */
export interface KnownRevisions {
  /** Revision of the global part, 0 for none. */
  global: number;
  /** Revision of the route table, 0 for none. */
  routes: number;
  /** Revision of each subscribed service, 0 for none. */
  services: Record<string, number>;
}

/** Components of the state that a view is built from. */
export interface ViewSources {
  site: Site | undefined;
  history: History;
  withdrawals: Withdrawals;
  members: MemberRegistry;
  revisions: Revisions;
}

function buildGlobalView(site: Site, sources: ViewSources): GlobalView {
  const { history, withdrawals, revisions } = sources;
  const { services: _services, routes: _routes, ...limits } = site;
  return {
    revision: revisions.global,
    version: history.version,
    limits,
    domainsOut: [...withdrawals.domains].sort(),
    serversOut: [...withdrawals.servers].sort(),
  };
}

function buildServiceView(service: string, sources: ViewSources): ServiceView {
  const { site, members, revisions } = sources;
  const settings: Service | undefined = site?.services[service];
  return {
    service,
    revision: revisions.service(service),
    settings,
    members: [...members.all.values()]
      .filter((member) => member.service === service)
      .map(({ revision: _revision, backend: _backend, ...member }) => member),
  };
}

/** Returns the parts of the view that are newer than a node's revisions. */
export function viewSince(known: KnownRevisions, sources: ViewSources): View {
  const { site, revisions } = sources;
  const view: View = { services: [] };
  if (site && revisions.global > known.global) {
    view.global = buildGlobalView(site, sources);
  }
  if (site && revisions.routes > known.routes) {
    view.routeTable = { revision: revisions.routes, ...buildRouteTable(site) };
  }
  view.services = Object.entries(known.services)
    .filter(([service, revision]) => revisions.service(service) > revision)
    .map(([service]) => buildServiceView(service, sources));
  return view;
}
