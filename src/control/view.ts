/**
 * The view: the parts of control's state that nodes receive. These are a global
 * part, the route table, the workspaces, and one part for each service that a node
 * subscribes to. Revisions are log indexes, so they only increase.
 * @module
 */
import { z } from "zod";
import {
  prefixRouteSchema,
  serviceSchema,
  siteSchema,
} from "../settings/site.ts";
import {
  loadedPagesSchema,
  workspaceChangesSchema,
  workspaceTableSchema,
} from "../workspaces/workspace_view.ts";
import { type Member, memberSchema } from "./commands.ts";
import { findMemberDefect } from "./member_defects.ts";

// The keys of workspaces stay with control.
const limitsSchema = siteSchema.omit({
  services: true,
  routes: true,
  workspaces: true,
});

/** The part of the view that every node holds. */
export const globalViewSchema = z.object({
  revision: z.number(),
  version: z.number(),
  limits: limitsSchema,
  domainsOut: z.array(z.string()),
  serversOut: z.array(z.string()),
  /** Revision of the workspaces; absent or 0 if there never was one. */
  workspaces: z.number().optional(),
});
/** The part of the view that every node holds. */
export type GlobalView = z.infer<typeof globalViewSchema>;

/**
 * All routes: those of the services, and those of the site with their settings.
 * They are a part of their own, since they change more rarely than the rest.
 */
export const routeTableSchema = z.object({
  revision: z.number(),
  prefixes: z.array(prefixRouteSchema.extend({ name: z.string() })),
  routes: z.array(z.object({
    service: z.string(),
    name: z.string(),
    method: z.string(),
    path: z.string(),
  })),
});
/** All routes of the services and of the site. */
export type RouteTable = z.infer<typeof routeTableSchema>;

/** Changes of the site's routes since a revision of the route table. */
export const routeChangesSchema = z.object({
  /** Revision of the table to which the changes apply. */
  since: z.number(),
  revision: z.number(),
  /** Routes that are new or changed. */
  set: routeTableSchema.shape.prefixes,
  /** Names of removed routes. */
  removed: z.array(z.string()),
});
/** Changes of the site's routes since a revision of the route table. */
export type RouteChanges = z.infer<typeof routeChangesSchema>;

/** The part of the view that subscribers to one service hold. */
export const serviceViewSchema = z.object({
  service: z.string(),
  revision: z.number(),
  settings: serviceSchema.optional(),
  members: z.array(z.unknown()),
}).transform(({ members, ...part }) => ({ ...part, ...sortMembers(members) }));
/**
 * The view of one service; without `settings` the service was removed. `defects`
 * says which entries of the list of members were left out, and why.
 */
export type ServiceView = z.infer<typeof serviceViewSchema>;

/** Separates the usable members of a list from the defects of the others. */
function sortMembers(
  entries: readonly unknown[],
): { members: Member[]; defects?: string[] } {
  const members: Member[] = [];
  const defects: string[] = [];
  for (const entry of entries) {
    const parsed = memberSchema.safeParse(entry);
    const defect = parsed.success
      ? findMemberDefect(parsed.data)
      : z.prettifyError(parsed.error);
    if (parsed.success && !defect) {
      members.push(parsed.data);
    } else {
      defects.push(String(defect));
    }
  }
  return defects.length > 0 ? { members, defects } : { members };
}

/** Revisions of the view that a node already has. */
export const knownRevisionsSchema = z.object({
  /** Revision of the global part, 0 for none. */
  global: z.number(),
  /** Revision of the route table, 0 for none. */
  routes: z.number(),
  /** Revision of each subscribed service, 0 for none. */
  services: z.record(z.string(), z.number()),
  /**
   * Whether the node can apply changes of the route table that it has, and
   * unpack routes.
   */
  takesRouteChanges: z.boolean().optional(),
  /**
   * Revision of the workspaces, 0 for none. A node of an earlier version, which
   * does not authenticate requests, names none and is sent none.
   */
  workspaces: z.number().optional(),
  /** Pages of a newer table of workspaces that the node has, if any. */
  workspacePages: loadedPagesSchema.optional(),
});
/** Revisions of the view that a node already has. */
export type KnownRevisions = z.infer<typeof knownRevisionsSchema>;

/** Parts of a view in one message; a table or its changes, never both. */
export const viewSchema = z.object({
  global: globalViewSchema.optional(),
  routeTable: routeTableSchema.optional(),
  routeChanges: routeChangesSchema.optional(),
  /** Either of these, compressed; see `route_packing.ts`. */
  packedRoutes: z.string().optional(),
  workspaceTable: workspaceTableSchema.optional(),
  workspaceChanges: workspaceChangesSchema.optional(),
  /** Either of these, compressed; see `workspace_packing.ts`. */
  packedWorkspaces: z.string().optional(),
  services: z.array(serviceViewSchema),
});
/** Parts of a view in one message. */
export type View = z.infer<typeof viewSchema>;
