/**
 * RPC methods between control replicas.
 * @module
 */
import { z } from "zod";
import { defineMethod } from "../rpc/rpc.ts";
import {
  entrySchema,
  membershipSchema,
  replicaInfoSchema,
} from "./log_store.ts";

const watermarkSchema = z.object({
  identity: z.string(),
  index: z.number(),
  term: z.number(),
});
/** The newest index and term that a replica is known to have made durable. */
export type Watermark = z.infer<typeof watermarkSchema>;

/**
 * Identity that a call is addressed to. Another replica may have taken over the
 * address, and must not answer for that identity.
 */
const to = z.string();

/**
 * Set by a replica that does not take part, or that has another identity than
 * the call is addressed to.
 */
const refused = z.literal(true).optional();

/**
 * Requests a vote; with `pre`, the voter only states whether it would grant its
 * vote.
 */
export const voteMethod = defineMethod("vote", {
  request: z.object({
    to,
    term: z.number(),
    candidate: z.string(),
    lastIndex: z.number(),
    lastTerm: z.number(),
    pre: z.boolean(),
    handover: z.boolean(),
  }),
  reply: z.object({ term: z.number(), granted: z.boolean() }),
});

/** Sends entries from the leader; without entries it is a heartbeat. */
export const appendMethod = defineMethod("append", {
  request: z.object({
    to,
    term: z.number(),
    leader: replicaInfoSchema,
    previousIndex: z.number(),
    previousTerm: z.number(),
    entries: z.array(entrySchema),
    commitIndex: z.number(),
    marks: z.array(watermarkSchema),
  }),
  reply: z.object({
    term: z.number(),
    accepted: z.boolean(),
    lastIndex: z.number(),
    refused,
  }),
});

/** Sends one chunk of a snapshot from the leader. */
export const snapshotMethod = defineMethod("snapshot", {
  request: z.object({
    to,
    term: z.number(),
    leader: replicaInfoSchema,
    index: z.number(),
    lastTerm: z.number(),
    logTime: z.number(),
    membership: membershipSchema,
    offset: z.number(),
    bytes: z.instanceof(Uint8Array),
    last: z.boolean(),
  }),
  reply: z.object({ term: z.number(), received: z.number(), refused }),
});

/**
 * Asks a peer, at the start, about the cluster and the durable state of the
 * caller.
 */
export const helloMethod = defineMethod("hello", {
  request: z.object({
    identity: z.string(),
    lastIndex: z.number(),
    term: z.number(),
  }),
  reply: z.object({
    /** Whether a cluster was formed; absent until the peer has read its disk. */
    formed: z.boolean().optional(),
    rolledBack: z.boolean(),
    members: membershipSchema,
  }),
});

/** Asks the leader to add the caller as a learner. */
export const joinMethod = defineMethod("join", {
  request: replicaInfoSchema,
  reply: z.object({ accepted: z.boolean(), leader: z.string() }),
});

/**
 * Asks the leader to make a voter that is about to stop a learner, if the quorum
 * bears no less without its vote.
 */
export const releaseVoteMethod = defineMethod("release_vote", {
  request: z.object({ identity: z.string() }),
  reply: z.object({ accepted: z.boolean() }),
});

/** Asks the most advanced follower to start an election at once. */
export const handoverMethod = defineMethod("handover", {
  request: z.object({ term: z.number() }),
  reply: z.object({ started: z.boolean() }),
});
