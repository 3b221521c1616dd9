/**
 * RPC methods that nodes, tools and other replicas call on control replicas.
 * @module
 */
import { z } from "zod";
import { eventSchema, querySchema } from "../account/events.ts";
import { outcomeSchema } from "../network/frames.ts";
import { defineMethod } from "../rpc/rpc.ts";
import {
  acceptedChangeSchema,
  changeResultSchema,
  changeSchema,
  claimResultSchema,
  claimSchema,
  memberSchema,
  registerResultSchema,
} from "./commands.ts";
import { departureSchema } from "./departures.ts";
import { serviceSuspectsSchema, suspicionReportSchema } from "./suspicions.ts";
import { knownRevisionsSchema, viewSchema } from "./view.ts";

/** A reply that only the leader can give. */
function leaderReply<T extends z.ZodType>(value: T) {
  return z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("done"), value }),
    z.object({ kind: z.literal("not_leader"), leader: z.string() }),
    z.object({ kind: z.literal("unknown"), leader: z.string() }),
  ]);
}

/**
 * A reply that only the leader can give. `not_leader` means that nothing was
 * appended. `unknown` means that the leadership or the call ended before the
 * result was known, and that the command may still be committed.
 */
export type LeaderReply<T> =
  | { kind: "done"; value: T }
  | { kind: "not_leader"; leader: string }
  | { kind: "unknown"; leader: string };

const renewalSchema = z.object({
  server: z.string(),
  incarnation: z.string(),
});
/** The renewal of a member's lease, which names its registration. */
export type Renewal = z.infer<typeof renewalSchema>;

/**
 * Fetches newer parts of the view and renews a lease; any replica answers. The
 * reply lists the RPC addresses of all replicas and the number of registered
 * members. `own` is the registration of the node's server and `departed` what has
 * left its VM; both are sent only with a confirmed view. `suspects` are those of
 * the service that the node's guard serves, if they are newer than what it knows.
 *
 * A sync ends by the node's timeout. The replica is not notified then, and
 * keeps the renewal and the events. A replica that stops still answers syncs in
 * flight.
 */
export const syncMethod = defineMethod("sync", {
  request: z.object({
    node: z.string(),
    known: knownRevisionsSchema,
    confirm: z.boolean(),
    renewal: renewalSchema.optional(),
    knownSuspects: z.object({ service: z.string(), revision: z.number() })
      .optional(),
    /** Events; those that cannot be read are left out by the replica. */
    events: z.array(z.unknown()),
  }),
  reply: z.object({
    confirmed: z.boolean(),
    stalenessMs: z.number(),
    leader: z.string(),
    replicas: z.array(z.string()),
    fleetSize: z.number(),
    leaseLost: z.boolean(),
    view: viewSchema,
    own: memberSchema.optional(),
    /** Revision of `own`, with which it can be replaced at once. */
    ownRevision: z.number().optional(),
    departed: z.array(departureSchema).optional(),
    suspects: serviceSuspectsSchema.optional(),
  }),
});

/** Forwards the renewals that a follower received from nodes, as one batch. */
export const renewMethod = defineMethod("renew", {
  request: z.object({ renewals: z.array(renewalSchema) }),
  reply: leaderReply(z.object({ lost: z.array(renewalSchema) })),
});

/** Registers a backend server. */
export const registerMethod = defineMethod("register", {
  request: z.object({ member: memberSchema, expectedRevision: z.number() }),
  reply: leaderReply(registerResultSchema),
});

/** Removes a backend server that has left. */
export const leaveMethod = defineMethod("leave", {
  request: renewalSchema,
  reply: leaderReply(z.boolean()),
});

/** Records that a backend server leaves, before that is acknowledged to it. */
export const departMethod = defineMethod("depart", {
  request: z.object({ server: z.string(), departure: departureSchema }),
  reply: leaderReply(z.boolean()),
});

/** Reports requests that are suspected of crashing backend servers. */
export const reportSuspicionsMethod = defineMethod("report_suspicions", {
  request: suspicionReportSchema,
  reply: leaderReply(z.boolean()),
});

/** Claims a key for one attempt before it is dispatched. */
export const claimMethod = defineMethod("claim", {
  request: claimSchema,
  reply: leaderReply(claimResultSchema),
});

/** Records the outcome of a claimed attempt. */
export const settleMethod = defineMethod("settle", {
  request: z.object({
    key: z.string(),
    claim: z.number(),
    outcome: outcomeSchema,
  }),
  reply: leaderReply(z.boolean()),
});

/** Proposes an operator's change. */
export const changeMethod = defineMethod("change", {
  request: changeSchema,
  reply: leaderReply(changeResultSchema),
});

/**
 * Confirms that the leader has all entries that were accepted before the call,
 * and returns the log index that a reader must have reached.
 */
export const confirmMethod = defineMethod("confirm", {
  request: z.object({}),
  reply: leaderReply(z.number()),
});

/** Finds events on one replica's disk, and changes in its history. */
export const findMethod = defineMethod("find", {
  request: querySchema,
  reply: z.object({
    events: z.array(eventSchema),
    changes: z.array(acceptedChangeSchema),
    dropped: z.number(),
  }),
});

/** Status of a control replica. */
export const controlStatusSchema = z.object({
  vm: z.string(),
  identity: z.string(),
  role: z.string(),
  term: z.number(),
  leader: z.string(),
  lastIndex: z.number(),
  commitIndex: z.number(),
  snapshotIndex: z.number(),
  voters: z.array(z.string()),
  learners: z.array(z.string()),
  failure: z.string(),
  version: z.number(),
  claims: z.number(),
  members: z.array(memberSchema),
  domainsOut: z.array(z.string()),
  serversOut: z.array(z.string()),
  eventsDropped: z.number(),
});
/** Status of a control replica. */
export type ControlStatus = z.infer<typeof controlStatusSchema>;

/** Returns the status of a replica. */
export const statusMethod = defineMethod("status", {
  request: z.object({}),
  reply: controlStatusSchema,
});
