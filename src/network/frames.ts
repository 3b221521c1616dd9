/**
 * Frames that processes exchange on the request path. A channel carries one
 * exchange at a time, so an answer always belongs to the preceding request.
 * @module
 */
import { z } from "zod";

const headerList = z.array(z.tuple([z.string(), z.string()]));
const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array);

/**
 * Identifies one attempt. `order` increases within a `source`, which is an
 * ingress incarnation, or `claims` for attempts that are ordered by their claim
 * in control.
 */
export const attemptIdSchema = z.object({
  source: z.string(),
  order: z.number(),
});
/** Identifies one attempt of one request. */
export type AttemptId = z.infer<typeof attemptIdSchema>;

/** Schema of {@link Load}. */
export const loadSchema = z.object({
  inFlight: z.number(),
  allowed: z.number(),
  queued: z.number(),
  version: z.number(),
  slowness: z.number(),
  incarnation: z.string(),
  leavingBoot: z.string().optional(),
});

/**
 * Load of a backend server as seen by its guard. `slowness` is the present
 * service time as a multiple of the usual one. `incarnation` identifies the
 * guard's process; senders learn it here before they learn it from control.
 * `leavingBoot` is the run of the server that leaves, if it does.
 */
export type Load = z.infer<typeof loadSchema>;

/** Outcome of an attempt: it ran, it did not run, or its outcome is unknown. */
export const outcomeSchema = z.enum(["ran", "not_run", "unknown"]);
/** Outcome of an attempt. */
export type Outcome = z.infer<typeof outcomeSchema>;

/** Reason of a refusal by a guard or an ingress. A refusal means `not_run`. */
export const refusalReasonSchema = z.enum([
  "overloaded",
  "cold",
  "no_connection",
  "draining",
  "domain_out",
  "server_out",
  "no_backend_server",
  "stale_version",
  "other_incarnation",
  "fenced",
  "superseded",
  "not_ready",
  "quarantined",
  "no_time",
  "shed",
  "slow",
  "busy",
  "failing",
  "connect_failed",
  "no_route",
  "no_quorum",
  "body_too_large",
  "key_reused",
  "key_required",
  "cancelled",
  "unknown_key",
  "key_unverified",
  "over_quota",
]);
/** Reason of a refusal by a guard or an ingress. */
export type RefusalReason = z.infer<typeof refusalReasonSchema>;

const attemptSchema = z.object({
  kind: z.literal("attempt"),
  attempt: attemptIdSchema,
  incarnation: z.string(),
  version: z.number(),
  from: z.string(),
  requestId: z.string(),
  service: z.string(),
  caller: z.string(),
  class: z.string(),
  tenant: z.string(),
  authenticated: z.boolean().optional(),
  rank: z.number(),
  workspaceRank: z.number().optional(),
  forRunning: z.boolean().optional(),
  returning: z.boolean().optional(),
  repeatable: z.boolean(),
  timeLeftMs: z.number(),
  objectiveLeftMs: z.number().optional(),
  method: z.string(),
  path: z.string(),
  headers: headerList,
  suspect: z.boolean(),
  elsewhere: z.boolean(),
  body: bytes,
  streaming: z.boolean(),
});
/**
 * Asks a guard to run a request. `from` is the peer address of the sender's
 * own node, or empty. `workspaceRank` is the priority of the workspace, which
 * goes before `rank`, that of the route; without it, it is 0. `authenticated`: a key
 * has proved that the request belongs to the workspace `tenant`. `forRunning`: a
 * backend server makes the request for one that it runs. `returning`: the caller
 * comes back after a refusal, as it was told. `caller` is the service of the VM
 * where the request originated. `suspect`: a backend server crashed during an
 * earlier attempt of the request, so the guard runs it alone. `elsewhere`: the
 * sender will try another guard if this one refuses. `streaming`: `data` frames follow.
 */
export type Attempt = z.infer<typeof attemptSchema>;

const answerSchema = z.object({
  kind: z.literal("answer"),
  attempt: attemptIdSchema,
  status: z.number(),
  headers: headerList,
  body: bytes,
  streaming: z.boolean(),
  load: loadSchema,
});
/** Answer of the backend server. `streaming`: `data` frames follow. */
export type Answer = z.infer<typeof answerSchema>;

const refusedSchema = z.object({
  kind: z.literal("refused"),
  attempt: attemptIdSchema,
  reason: refusalReasonSchema,
  retryAfterMs: z.number(),
  load: loadSchema,
});
/** Refusal by the guard: the attempt did not run and never will. */
export type Refused = z.infer<typeof refusedSchema>;

const failedSchema = z.object({
  kind: z.literal("failed"),
  attempt: attemptIdSchema,
  outcome: outcomeSchema,
  cause: z.string(),
  crashed: z.boolean(),
  reached: z.boolean(),
  load: loadSchema,
});
/**
 * End of an attempt without an answer. `reached`: the backend server received
 * the attempt.
 */
export type Failed = z.infer<typeof failedSchema>;

/** State of an attempt at the guard that is asked to fence it. */
export const fenceStateSchema = z.enum([
  "fenced",
  "running",
  "finished",
  "failed",
  "forgotten",
  "other_incarnation",
]);
/**
 * State of an attempt at the guard that is asked to fence it. `fenced`: the
 * attempt will never start; `forgotten`: the guard may have dropped its state;
 * `other_incarnation`: the guard is not the incarnation that `fence` names.
 */
export type FenceState = z.infer<typeof fenceStateSchema>;

const viewRequestSchema = z.object({
  kind: z.literal("view_request"),
  services: z.array(z.string()),
  known: z.unknown().optional(),
});
/**
 * Asks a peer for its view of services. `known` holds the revisions that the
 * sender has, and only newer parts are sent; without it, everything is.
 */
export type ViewRequest = z.infer<typeof viewRequestSchema>;

const quotaAskSchema = z.object({
  kind: z.literal("quota_ask"),
  node: z.string(),
  domain: z.string(),
  address: z.string(),
  version: z.number(),
  relayed: z.boolean(),
  workspaces: z.array(z.string()),
  numbers: z.unknown(),
});
/**
 * Asks the owner of workspaces, or its deputy, to admit requests, and reports
 * use; see `src/quota/messages.ts` for `numbers`. `node` and `domain` are those
 * of the node where the requests came. `relayed`: a node that is not the owner
 * passes the ask on, and it is not passed on again.
 */
export type QuotaAskFrame = z.infer<typeof quotaAskSchema>;

const quotaAnswerSchema = z.object({
  kind: z.literal("quota_answer"),
  accepted: z.boolean(),
  numbers: z.unknown().optional(),
});
/** Answer to a `quota_ask`. Without `accepted`, this node does not decide. */
export type QuotaAnswerFrame = z.infer<typeof quotaAnswerSchema>;

/** Any frame on the request path. */
export const frameSchema = z.discriminatedUnion("kind", [
  attemptSchema,
  z.object({ kind: z.literal("admitted") }),
  z.object({ kind: z.literal("slow") }),
  z.object({ kind: z.literal("data"), bytes }),
  z.object({ kind: z.literal("end") }),
  answerSchema,
  refusedSchema,
  failedSchema,
  z.object({
    kind: z.literal("fence"),
    attempt: attemptIdSchema,
    incarnation: z.string(),
  }),
  z.object({ kind: z.literal("fence_state"), state: fenceStateSchema }),
  z.object({
    kind: z.literal("resume"),
    attempt: attemptIdSchema,
    incarnation: z.string(),
  }),
  z.object({ kind: z.literal("ping") }),
  z.object({ kind: z.literal("pong"), load: loadSchema.optional() }),
  z.object({
    kind: z.literal("suspicion"),
    fingerprint: z.string(),
    crash: z.string(),
    cleared: z.boolean(),
  }),
  viewRequestSchema,
  z.object({ kind: z.literal("view"), view: z.unknown() }),
  quotaAskSchema,
  quotaAnswerSchema,
  z.object({ kind: z.literal("quota_lease"), owner: z.string() }),
  z.object({ kind: z.literal("quota_leased"), decided: z.boolean() }),
]);
/** Any frame on the request path. */
export type Frame = z.infer<typeof frameSchema>;
