/**
 * Revisions of the view: the log entry that last changed each part of it.
 * @module
 */

/** Revisions as stored in a snapshot. */
export interface StoredRevisions {
  /** Log index of the last entry that changed any part. */
  revision: number;
  globalRevision: number;
  routesRevision: number;
  serviceRevisions: [string, number][];
}

/** Log index of the last entry that changed each part, 0 for none. */
export interface Revisions {
  /** Log index of the last entry that changed any part. */
  readonly latest: number;
  readonly global: number;
  readonly routes: number;
  service(name: string): number;
  touchGlobal(index: number): void;
  touchRoutes(index: number): void;
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
    service: (name) => services.get(name) ?? 0,
    touchGlobal(index) {
      latest = global = index;
    },
    touchRoutes(index) {
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
    }),
  };
}
