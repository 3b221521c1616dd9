/**
 * Schema of amendments; see `amendments.ts`.
 * @module
 */
import { z } from "zod";
import {
  prefixRouteSchema,
  serviceSchema,
  siteSchema,
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
  /** The site without its services and routes, if that has changed. */
  limits: siteSchema.omit({ services: true, routes: true }).optional(),
  /** New and changed services. */
  services: z.record(z.string(), serviceSchema),
  removedServices: removedSchema,
  /** New and changed routes of the site. */
  routes: z.record(z.string(), prefixRouteSchema),
  removedRoutes: removedSchema,
  /** Edits of the source document. */
  document: z.array(textEditSchema),
});

/** Change of the accepted configuration by the parts that differ. */
export type Amendment = z.infer<typeof amendmentSchema>;
