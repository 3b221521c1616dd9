/**
 * Commands in the replicated log, and their results.
 * @module
 */
import { z } from "zod";
import { outcomeSchema } from "../network/frames.ts";
import { siteSchema } from "../settings/site.ts";
import { amendmentSchema } from "./amendment_schema.ts";
import { departureSchema } from "./departures.ts";
import { suspicionReportSchema } from "./suspicions.ts";

/** The action of an operator's change. */
export const actionSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("configure"),
    site: siteSchema,
    document: z.string().optional(),
  }),
  z.strictObject({ kind: z.literal("domain_out"), domain: z.string() }),
  z.strictObject({ kind: z.literal("domain_back"), domain: z.string() }),
  z.strictObject({ kind: z.literal("server_out"), server: z.string() }),
  z.strictObject({ kind: z.literal("server_back"), server: z.string() }),
]);
/**
 * The action of an operator's change. `document` is the source of the site; it
 * is stored unchanged, so that tools can read it back.
 */
export type Action = z.infer<typeof actionSchema>;

const changeActionSchema = z.discriminatedUnion("kind", [
  ...actionSchema.options,
  amendmentSchema,
]);
/** The action of a change as control's log holds it. */
export type ChangeAction = z.infer<typeof changeActionSchema>;

const numberingSchema = z.strictObject({
  after: z.number().int().min(0),
  to: z.number().int().min(0),
});

/**
 * The number that an operator gives to a configuration (`to`), and the number
 * of the configuration that it replaces (`after`).
 */
export type Numbering = z.infer<typeof numberingSchema>;

/** A change made by an operator. */
export const changeSchema = z.object({
  kind: z.literal("change"),
  changeId: z.string().min(1).max(128),
  operator: z.string(),
  teams: z.array(z.string()).optional(),
  against: z.number().int().min(0).optional(),
  domainVersion: z.number().int().min(0).optional(),
  numbering: numberingSchema.optional(),
  force: z.boolean(),
  wallTime: z.number(),
  action: changeActionSchema,
});
/**
 * A change made by an operator. Without `teams` it may affect any team; without
 * `against` it applies to whichever version is current. `domainVersion` is the
 * version of the last change to the failure domain that the submitter knew; the
 * change conflicts with a later one.
 */
export type Change = z.infer<typeof changeSchema>;

/** A backend server as its node registers it. */
export const memberSchema = z.object({
  server: z.string(),
  service: z.string(),
  domain: z.string(),
  region: z.string(),
  address: z.string(),
  incarnation: z.string(),
  boot: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  /** Lets a restarted node recognize the backend process that it registered. */
  backend: z.object({
    address: z.string(),
    instance: z.string(),
    startedAt: z.number().optional(),
  }).optional(),
});
/** A backend server as its node registers it. */
export type Member = z.infer<typeof memberSchema>;

const registerSchema = z.object({
  kind: z.literal("register"),
  member: memberSchema,
  expectedRevision: z.number(),
});

const expireSchema = z.object({
  kind: z.literal("expire"),
  server: z.string(),
  incarnation: z.string(),
  cause: z.enum(["lease", "left"]),
});

const departSchema = z.object({
  kind: z.literal("depart"),
  server: z.string(),
  departure: departureSchema,
});

const suspicionsSchema = suspicionReportSchema.extend({
  kind: z.literal("suspicions"),
});

/** Claims a key for one attempt before it is dispatched. */
export const claimSchema = z.object({
  kind: z.literal("claim"),
  key: z.string().min(1).max(512),
  requestHash: z.string(),
  claimant: z.string(),
  server: z.string(),
  address: z.string(),
  incarnation: z.string(),
  replaces: z.number().optional(),
});
/**
 * Claims a key. `claimant` identifies the sender of this command, which makes a
 * retry idempotent; `replaces` is an earlier claim whose attempt is known not
 * to have run.
 */
export type Claim = z.infer<typeof claimSchema>;

const settleSchema = z.object({
  kind: z.literal("settle"),
  key: z.string(),
  claim: z.number(),
  outcome: outcomeSchema,
});

/** Any command. */
export const commandSchema = z.discriminatedUnion("kind", [
  changeSchema,
  registerSchema,
  expireSchema,
  departSchema,
  suspicionsSchema,
  claimSchema,
  settleSchema,
]);
/** Any command. */
export type Command = z.infer<typeof commandSchema>;

/** One value that a change modified. */
export const differenceSchema = z.object({
  key: z.string(),
  before: z.unknown(),
  after: z.unknown(),
});
/** One value that a change modified. */
export type Difference = z.infer<typeof differenceSchema>;

/** An accepted change, as listed in the history. */
export const acceptedChangeSchema = z.object({
  version: z.number(),
  changeId: z.string(),
  operator: z.string(),
  wallTime: z.number(),
  action: z.string(),
  target: z.string(),
  forced: z.boolean(),
  differences: z.array(differenceSchema),
});
/** An accepted change, as listed in the history. */
export type AcceptedChange = z.infer<typeof acceptedChangeSchema>;

/** Result of a change. */
export const changeResultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("accepted"), version: z.number() }),
  z.object({
    kind: z.literal("conflict"),
    version: z.number(),
    winner: acceptedChangeSchema.optional(),
  }),
  z.object({
    kind: z.literal("refused"),
    version: z.number(),
    reason: z.enum([
      "last_domain",
      "last_server",
      "unknown_domain",
      "unknown_server",
      "forbidden",
      "change_id_reused",
      "not_configured",
      "number_not_above",
    ]),
    detail: z.string(),
  }),
]);
/** Result of a change. */
export type ChangeResult = z.infer<typeof changeResultSchema>;

/** Result of a registration. */
export const registerResultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("registered"), revision: z.number() }),
  z.object({
    kind: z.literal("superseded"),
    revision: z.number(),
    incarnation: z.string(),
  }),
]);
/** Result of a registration. */
export type RegisterResult = z.infer<typeof registerResultSchema>;

/** A claim that is held. */
export const heldClaimSchema = z.object({
  claim: z.number(),
  requestHash: z.string(),
  claimant: z.string(),
  server: z.string(),
  address: z.string(),
  incarnation: z.string(),
  outcome: outcomeSchema,
});
/** A claim that is held; `outcome` is `unknown` until it is settled. */
export type HeldClaim = z.infer<typeof heldClaimSchema>;

/** Result of a claim. */
export const claimResultSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("granted"), claim: z.number() }),
  z.object({ kind: z.literal("held"), held: heldClaimSchema }),
  z.object({ kind: z.literal("full") }),
]);
/** Result of a claim. */
export type ClaimResult = z.infer<typeof claimResultSchema>;
