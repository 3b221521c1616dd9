/**
 * Amendments: changes of a configuration by the parts that differ from the
 * accepted one. A log entry that holds the whole site costs every replica what
 * all routes cost, also when one of them changes.
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { hashText } from "../core/hash.ts";
import type { Site } from "../settings/site.ts";
import type { Amendment } from "./amendment_schema.ts";
import type { Action } from "./commands.ts";
import type { KeyChanges } from "./key_revisions.ts";
import { applyTextEdits, findTextEdits } from "./text_edits.ts";

/** An action that replaces the configuration. */
export type ConfigureAction = Extract<Action, { kind: "configure" }>;

/** The accepted configuration. */
export interface AmendableConfiguration {
  site: Site;
  /** Source document of the site. */
  document: string;
  /** Hash of the action that made the configuration. */
  digest: string;
}

/** Returns the keys whose values differ between two records. */
export function findKeyChanges(
  before: Record<string, unknown>,
  after: Record<string, unknown>,
): KeyChanges {
  return {
    set: Object.keys(after)
      .filter((key) => !isDeepStrictEqual(before[key], after[key])),
    removed: Object.keys(before).filter((key) => !Object.hasOwn(after, key)),
  };
}

/** Returns a hash of an action. An amendment has that of the whole action. */
export function hashAction(action: Action | Amendment): string {
  return action.kind === "amend"
    ? action.digest
    : hashText(JSON.stringify(action));
}

function pick<T>(
  record: Record<string, T>,
  keys: readonly string[],
): Record<string, T> {
  return Object.fromEntries(keys.map((key) => [key, record[key]]));
}

/** Splits a site; one from a snapshot of an earlier version has no workspaces. */
function splitSite({ services, routes, workspaces = {}, ...limits }: Site) {
  return { services, routes, workspaces, limits };
}

/** Returns the amendment that has the same result as a whole configuration. */
export function createAmendment(
  action: ConfigureAction,
  current: AmendableConfiguration,
): Amendment {
  const [before, after] = [splitSite(current.site), splitSite(action.site)];
  const services = findKeyChanges(before.services, after.services);
  const routes = findKeyChanges(before.routes, after.routes);
  const workspaces = findKeyChanges(before.workspaces, after.workspaces);
  const sameWorkspaces =
    workspaces.set.length + workspaces.removed.length === 0;
  return {
    kind: "amend",
    base: current.digest,
    digest: hashAction(action),
    limits: isDeepStrictEqual(before.limits, after.limits)
      ? undefined
      : after.limits,
    services: pick(after.services, services.set),
    removedServices: services.removed,
    routes: pick(after.routes, routes.set),
    removedRoutes: routes.removed,
    ...(sameWorkspaces ? {} : {
      workspaces: pick(after.workspaces, workspaces.set),
      removedWorkspaces: workspaces.removed,
    }),
    document: findTextEdits(current.document, action.document ?? ""),
  };
}

function amendRecord<T>(
  before: Record<string, T>,
  changes: { set: Record<string, T>; removed: readonly string[] },
): Record<string, T> {
  const after = { ...before, ...changes.set };
  changes.removed.forEach((key) => delete after[key]);
  return after;
}

/**
 * Returns the whole configuration that an amendment stands for. Parts that did
 * not change are shared with the current one, which must be the amendment's base.
 */
export function applyAmendment(
  amendment: Amendment,
  { site, document }: AmendableConfiguration,
): ConfigureAction {
  const before = splitSite(site);
  return {
    kind: "configure",
    site: {
      ...(amendment.limits ?? before.limits),
      services: amendRecord(before.services, {
        set: amendment.services,
        removed: amendment.removedServices,
      }),
      routes: amendRecord(before.routes, {
        set: amendment.routes,
        removed: amendment.removedRoutes,
      }),
      workspaces: amendRecord(before.workspaces, {
        set: amendment.workspaces ?? {},
        removed: amendment.removedWorkspaces ?? [],
      }),
    },
    document: applyTextEdits(document, amendment.document),
  };
}
