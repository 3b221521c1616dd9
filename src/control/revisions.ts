/**
 * Revisions of the view: the log entry that last changed each part of it.
 * @module
 */
import {
  createKeyRevisions,
  type KeyChanges,
  type StoredKeyRevisions,
} from "./key_revisions.ts";

/** Revisions as stored in a snapshot. */
export interface StoredRevisions {
  /** Log index of the last entry that changed any part. */
  revision: number;
  globalRevision: number;
  routesRevision: number;
  serviceRevisions: [string, number][];
  /** Revisions of the site's routes; snapshots of earlier versions have none. */
  routeKeys?: StoredKeyRevisions;
  /** Of the workspaces; snapshots of earlier versions have neither of these. */
  workspacesRevision?: number;
  workspaceKeys?: StoredKeyRevisions;
}

/** Log index of the last entry that changed each part, 0 for none. */
export interface Revisions {
  /** Log index of the last entry that changed any part. */
  readonly latest: number;
  readonly global: number;
  readonly routes: number;
  readonly workspaces: number;
  service(name: string): number;
  touchGlobal(index: number): void;
  /**
   * Returns the site's routes that changed after a revision, or `undefined` if a
   * node that has the routes as of then needs the whole table.
   */
  routeChangesSince(revision: number): KeyChanges | undefined;
  /** Notes site routes that were set and removed. */
  touchRoutes(changes: KeyChanges, index: number): void;
  /**
   * Returns the workspaces that changed after a revision, or `undefined` if a node
   * that has them as of then needs the whole table.
   */
  workspaceChangesSince(revision: number): KeyChanges | undefined;
  /** Notes workspaces that were set and removed. */
  touchWorkspaces(changes: KeyChanges, index: number): void;
  /** Notes a change that only the whole route table expresses. */
  touchRouteTable(index: number): void;
  touchService(name: string, index: number): void;
  /** Returns all revisions, for a snapshot. */
  stored(): StoredRevisions;
}

/** Creates revisions from those of a snapshot. */
export function createRevisions(stored: StoredRevisions): Revisions {
  const services = new Map(stored.serviceRevisions);
  let latest = stored.revision;
  let global = stored.globalRevision;
  let routes = stored.routesRevision;
  const routeKeys = createKeyRevisions(
    stored.routeKeys ?? { floor: routes, set: [], removed: [] },
  );
  let workspaces = stored.workspacesRevision ?? 0;
  const workspaceKeys = createKeyRevisions(
    stored.workspaceKeys ?? { floor: workspaces, set: [], removed: [] },
  );

  return {
    get latest() {
      return latest;
    },
    get global() {
      return global;
    },
    get routes() {
      return routes;
    },
    get workspaces() {
      return workspaces;
    },
    service: (name) => services.get(name) ?? 0,
    touchGlobal(index) {
      latest = global = index;
    },
    routeChangesSince: routeKeys.changedSince,
    touchRoutes({ set, removed }, index) {
      set.forEach((name) => routeKeys.set(name, index));
      removed.forEach((name) => routeKeys.remove(name, index));
      latest = routes = index;
    },
    workspaceChangesSince: workspaceKeys.changedSince,
    touchWorkspaces({ set, removed }, index) {
      set.forEach((name) => workspaceKeys.set(name, index));
      removed.forEach((name) => workspaceKeys.remove(name, index));
      latest = workspaces = index;
    },
    touchRouteTable(index) {
      routeKeys.restart(index);
      latest = routes = index;
    },
    touchService(name, index) {
      latest = index;
      services.set(name, index);
    },
    stored: () => ({
      revision: latest,
      globalRevision: global,
      routesRevision: routes,
      serviceRevisions: [...services],
      routeKeys: routeKeys.stored(),
      workspacesRevision: workspaces,
      workspaceKeys: workspaceKeys.stored(),
    }),
  };
}
