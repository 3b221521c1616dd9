/**
 * The view: the parts of control's state that nodes receive. These are a global
 * part, the route table, and one part for each service that a node subscribes
 * to. Revisions are log indexes, so they only increase.
 * @module
 */
import { z } from "zod";
import {
  prefixRouteSchema,
  serviceSchema,
  siteSchema,
} from "../settings/site.ts";
import { memberSchema } from "./commands.ts";

const limitsSchema = siteSchema.omit({ services: true, routes: true });

/** The part of the view that every node holds. */
export const globalViewSchema = z.object({
  revision: z.number(),
  version: z.number(),
  limits: limitsSchema,
  domainsOut: z.array(z.string()),
  serversOut: z.array(z.string()),
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

/** The part of the view that subscribers to one service hold. */
export const serviceViewSchema = z.object({
  service: z.string(),
  revision: z.number(),
  settings: serviceSchema.optional(),
  members: z.array(memberSchema),
});
/** The view of one service; without `settings` the service was removed. */
export type ServiceView = z.infer<typeof serviceViewSchema>;

/** Parts of a view in one message. */
export const viewSchema = z.object({
  global: globalViewSchema.optional(),
  routeTable: routeTableSchema.optional(),
  services: z.array(serviceViewSchema),
});
/** Parts of a view in one message. */
export type View = z.infer<typeof viewSchema>;
