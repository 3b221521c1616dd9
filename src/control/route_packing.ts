/**
 * Compression of the routes in a view. A change of many routes is the largest
 * message that nodes receive, and all of them fetch it at the same moment.
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import {
  type RouteChanges,
  routeChangesSchema,
  type RouteTable,
  routeTableSchema,
  type View,
} from "./view.ts";

/** Number of routes from which compression saves more than it costs. */
const MIN_PACKED_ROUTES = 32;
/** Largest size of unpacked routes, in bytes. */
const MAX_UNPACKED_BYTES = 64 * 1024 * 1024;
/** Fastest level: routes resemble each other, so more effort gains little. */
const COMPRESSION_LEVEL = 1;

/** The routes of a view: a table or changes. */
type RouteParts = Pick<View, "routeTable" | "routeChanges">;

/** Packs views, and keeps the packed routes of the newest revision. */
export interface RoutePacker {
  /** Returns the view with its routes compressed if there are many. */
  pack(view: View): View;
}

function countRoutes({ routeTable, routeChanges }: RouteParts): number {
  return routeTable?.prefixes.length ?? routeChanges?.set.length ?? 0;
}

function compress(parts: RouteParts): string {
  const options = { level: COMPRESSION_LEVEL };
  return deflateRawSync(JSON.stringify(parts), options).toString("base64");
}

/** Creates a packer that has packed nothing yet. */
export function createRoutePacker(): RoutePacker {
  /** Packed routes by the revision from which a reader updates. */
  const packedBySince = new Map<number, string>();
  let packedRevision = 0;

  function packParts(parts: RouteParts, revision: number): string {
    if (revision !== packedRevision) {
      packedBySince.clear();
      packedRevision = revision;
    }
    const since = parts.routeChanges?.since ?? 0;
    const packed = packedBySince.get(since) ?? compress(parts);
    packedBySince.set(since, packed);
    return packed;
  }

  return {
    pack(view) {
      const { routeTable, routeChanges, ...rest } = view;
      const parts = { routeTable, routeChanges };
      const revision = routeTable?.revision ?? routeChanges?.revision;
      return revision === undefined || countRoutes(parts) < MIN_PACKED_ROUTES
        ? view
        : { ...rest, packedRoutes: packParts(parts, revision) };
    },
  };
}

/** The fields by which routes are found; control has checked all of them. */
const outlineSchema = {
  table: routeTableSchema.pick({ revision: true }),
  changes: routeChangesSchema.pick({ since: true, revision: true }),
};

function readParts(packed: string): RouteParts {
  const bytes = inflateRawSync(Buffer.from(packed, "base64"), {
    maxOutputLength: MAX_UNPACKED_BYTES,
  });
  const { routeTable, routeChanges } = JSON.parse(bytes.toString("utf8"));
  if (routeTable) {
    outlineSchema.table.parse(routeTable);
    return { routeTable: routeTable as RouteTable };
  }
  outlineSchema.changes.parse(routeChanges);
  return { routeChanges: routeChanges as RouteChanges };
}

/** Returns a view with its routes unpacked. Throws if they are malformed. */
export function unpackView({ packedRoutes, ...view }: View): View {
  return packedRoutes === undefined
    ? view
    : { ...view, ...readParts(packedRoutes) };
}
