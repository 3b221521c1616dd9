/**
 * Selection of the parts of the view that are newer than a node's revisions.
 * @module
 */
import type { Service, Site } from "../settings/site.ts";
import type { History } from "./history.ts";
import type { MemberRegistry } from "./members.ts";
import type { Revisions } from "./revisions.ts";
import { buildRouteTable } from "./route_table.ts";
import type { GlobalView, KnownRevisions, ServiceView, View } from "./view.ts";
import type { Withdrawals } from "./withdrawals.ts";
import { buildWorkspaces } from "./workspace_table.ts";

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
  const {
    services: _services,
    routes: _routes,
    workspaces: _workspaces,
    ...limits
  } = site;
  return {
    revision: revisions.global,
    version: history.version,
    limits,
    domainsOut: [...withdrawals.domains].sort(),
    serversOut: [...withdrawals.servers].sort(),
    workspaces: revisions.workspaces || undefined,
  };
}

function buildServiceView(service: string, sources: ViewSources): ServiceView {
  const { site, members, revisions } = sources;
  const settings: Service | undefined =
    site && Object.hasOwn(site.services, service)
      ? site.services[service]
      : undefined;
  return {
    service,
    revision: revisions.service(service),
    settings,
    members: [...members.all.values()]
      .filter((member) => member.service === service)
      .map(({ revision: _revision, backend: _backend, ...member }) => member),
  };
}

/** Returns the newer routes: only those that changed, if a node can take that. */
function buildRoutes(
  site: Site,
  { known, revisions }: { known: KnownRevisions; revisions: Revisions },
): Pick<View, "routeTable" | "routeChanges"> {
  const revision = revisions.routes;
  const changed = known.takesRouteChanges && known.routes > 0
    ? revisions.routeChangesSince(known.routes)
    : undefined;
  return changed
    ? {
      routeChanges: {
        since: known.routes,
        revision,
        set: changed.set.map((name) => ({ name, ...site.routes[name] })),
        removed: changed.removed,
      },
    }
    : { routeTable: { revision, ...buildRouteTable(site) } };
}

/** Returns the parts of the view that are newer than a node's revisions. */
export function viewSince(known: KnownRevisions, sources: ViewSources): View {
  const { site, revisions } = sources;
  const view: View = { services: [] };
  if (site && revisions.global > known.global) {
    view.global = buildGlobalView(site, sources);
  }
  if (site && revisions.routes > known.routes) {
    Object.assign(view, buildRoutes(site, { known, revisions }));
  }
  const { workspaces } = known;
  if (site && workspaces !== undefined && revisions.workspaces > workspaces) {
    Object.assign(view, buildWorkspaces(site, { known, revisions }));
  }
  view.services = Object.entries(known.services)
    .filter(([service, revision]) => revisions.service(service) > revision)
    .map(([service]) => buildServiceView(service, sources));
  return view;
}
