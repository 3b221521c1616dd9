/**
 * Schema of amendments; see `amendments.ts`.
 * @module
 */
import { z } from "zod";
import {
  prefixRouteSchema,
  serviceSchema,
  siteSchema,
  workspaceSchema,
} from "../settings/site.ts";
import { textEditSchema } from "./text_edits.ts";

const removedSchema = z.array(z.string());

/** Schema of {@link Amendment}. */
export const amendmentSchema = z.strictObject({
  kind: z.literal("amend"),
  /** Digest of the configuration that the amendment applies to. */
  base: z.string(),
  /** Hash of the action that the amendment stands for. */
  digest: z.string(),
  /** The site without the parts below, if that has changed. */
  limits: siteSchema.omit({ services: true, routes: true, workspaces: true })
    .optional(),
  /** New and changed services. */
  services: z.record(z.string(), serviceSchema),
  removedServices: removedSchema,
  /** New and changed routes of the site. */
  routes: z.record(z.string(), prefixRouteSchema),
  removedRoutes: removedSchema,
  /**
   * New and changed workspaces. This and the next are left out if no workspace has
   * changed, so that replicas of earlier versions can apply the amendment.
   */
  workspaces: z.record(z.string(), workspaceSchema).optional(),
  removedWorkspaces: removedSchema.optional(),
  /** Edits of the source document. */
  document: z.array(textEditSchema),
});

/** Change of the accepted configuration by the parts that differ. */
export type Amendment = z.infer<typeof amendmentSchema>;
