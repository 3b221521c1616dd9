/**
 * The accepted configuration, and what it was made from.
 * @module
 */
import type { Site } from "../settings/site.ts";
import type { Action, Difference } from "./commands.ts";
import { differencesBetween } from "./differences.ts";
import type { Revisions } from "./revisions.ts";
import { tableOf } from "./route_table.ts";

/** A configuration as a snapshot keeps it. */
export interface StoredConfiguration {
  /** What the site was made from; empty if nothing was given. */
  document: string;
  /** The accepted site, once there is one. */
  site?: Site;
}

/** The accepted configuration. */
export interface Configuration {
  readonly document: string;
  readonly site: Site | undefined;
  /** Replaces the site; returns what differs from the one before. */
  configure(
    action: Action & { kind: "configure" },
    index: number,
  ): Difference[];
  /** Returns the configuration, for a snapshot. */
  stored(): StoredConfiguration;
}

/** Creates a configuration from a snapshot's. */
export function createConfiguration(
  stored: StoredConfiguration,
  revisions: Revisions,
): Configuration {
  let { document, site } = stored;

  function touchServices(next: Site, index: number): void {
    const before = site?.services ?? {};
    const names = new Set([
      ...Object.keys(before),
      ...Object.keys(next.services),
    ]);
    for (const name of names) {
      const changed = differencesBetween(before[name], next.services[name]);
      if (changed.length > 0) {
        revisions.touchService(name, index);
      }
    }
  }

  function touchRoutes(next: Site, index: number): void {
    const before = site ? tableOf(site) : undefined;
    if (differencesBetween(before, tableOf(next)).length > 0) {
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
      const next = action.site;
      const differences = differencesBetween(site ?? {}, next);
      touchServices(next, index);
      touchRoutes(next, index);
      document = action.document ?? "";
      site = next;
      return differences;
    },
    stored: () => site ? { document, site } : { document },
  };
}
