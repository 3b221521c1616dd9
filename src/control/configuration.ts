/**
 * The accepted configuration, and its source document.
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import type { Site } from "../settings/site.ts";
import {
  type AmendableConfiguration,
  type ConfigureAction,
  findKeyChanges,
} from "./amendments.ts";
import type { Difference } from "./commands.ts";
import { findDifferences } from "./differences.ts";
import type { Revisions } from "./revisions.ts";
import { listServiceRoutes } from "./route_table.ts";
import { findSiteDifferences, workspacesOf } from "./workspace_table.ts";

/** A configuration as stored in a snapshot. */
export interface StoredConfiguration {
  /** Source document of the site; empty if none was submitted. */
  document: string;
  /** The accepted site; absent until one is accepted. */
  site?: Site;
  /** Hash of the action that made it; snapshots of earlier versions have none. */
  digest?: string;
}

/** The accepted configuration. */
export interface Configuration {
  readonly document: string;
  readonly site: Site | undefined;
  /** The configuration as amendments need it, once there is one with a digest. */
  readonly amendable: AmendableConfiguration | undefined;
  /** Replaces the site, and returns the differences from the previous one. */
  configure(
    action: ConfigureAction,
    source: { index: number; digest: string },
  ): Difference[];
  /** Returns the configuration, for a snapshot. */
  stored(): StoredConfiguration;
}

function hasSameServiceRoutes(before: Site, after: Site): boolean {
  return isDeepStrictEqual(listServiceRoutes(before), listServiceRoutes(after));
}

/** Creates a configuration from that of a snapshot. */
export function createConfiguration(
  stored: StoredConfiguration,
  revisions: Revisions,
): Configuration {
  let { document, site, digest } = stored;

  function touchServices(newSite: Site, index: number): void {
    const before = site?.services ?? {};
    const names = new Set([
      ...Object.keys(before),
      ...Object.keys(newSite.services),
    ]);
    for (const name of names) {
      const differences = findDifferences(before[name], newSite.services[name]);
      if (differences.length > 0) {
        revisions.touchService(name, index);
      }
    }
  }

  function touchRoutes(newSite: Site, index: number): void {
    if (!site || !hasSameServiceRoutes(site, newSite)) {
      revisions.touchRouteTable(index);
      return;
    }
    const changes = findKeyChanges(site.routes, newSite.routes);
    if (changes.set.length + changes.removed.length > 0) {
      revisions.touchRoutes(changes, index);
    }
  }

  function touchWorkspaces(newSite: Site, index: number): void {
    const changes = findKeyChanges(workspacesOf(site), workspacesOf(newSite));
    if (changes.set.length + changes.removed.length > 0) {
      revisions.touchWorkspaces(changes, index);
    }
  }

  return {
    get document() {
      return document;
    },
    get site() {
      return site;
    },
    get amendable() {
      return site && digest !== undefined
        ? { site, document, digest }
        : undefined;
    },
    configure(action, source) {
      const { index } = source;
      const newSite = action.site;
      const differences = findSiteDifferences(site, newSite);
      touchServices(newSite, index);
      touchRoutes(newSite, index);
      touchWorkspaces(newSite, index);
      document = action.document ?? "";
      site = newSite;
      digest = source.digest;
      return differences;
    },
    stored: () => site ? { document, site, digest } : { document },
  };
}
