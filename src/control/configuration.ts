/**
 * The accepted configuration, and its source document.
 * @module
 */
import type { Site } from "../settings/site.ts";
import type { Action, Difference } from "./commands.ts";
import { findDifferences } from "./differences.ts";
import type { Revisions } from "./revisions.ts";
import { buildRouteTable } from "./route_table.ts";

/** A configuration as stored in a snapshot. */
export interface StoredConfiguration {
  /** Source document of the site; empty if none was submitted. */
  document: string;
  /** The accepted site; absent until one is accepted. */
  site?: Site;
}

/** The accepted configuration. */
export interface Configuration {
  readonly document: string;
  readonly site: Site | undefined;
  /** Replaces the site, and returns the differences from the previous one. */
  configure(
    action: Action & { kind: "configure" },
    index: number,
  ): Difference[];
  /** Returns the configuration, for a snapshot. */
  stored(): StoredConfiguration;
}

/** Creates a configuration from that of a snapshot. */
export function createConfiguration(
  stored: StoredConfiguration,
  revisions: Revisions,
): Configuration {
  let { document, site } = stored;

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
    const before = site ? buildRouteTable(site) : undefined;
    if (findDifferences(before, buildRouteTable(newSite)).length > 0) {
      revisions.touchRoutes(index);
    }
  }

  return {
    get document() {
      return document;
    },
    get site() {
      return site;
    },
    configure(action, index) {
      const newSite = action.site;
      const differences = findDifferences(site ?? {}, newSite);
      touchServices(newSite, index);
      touchRoutes(newSite, index);
      document = action.document ?? "";
      site = newSite;
      return differences;
    },
    stored: () => site ? { document, site } : { document },
  };
}
