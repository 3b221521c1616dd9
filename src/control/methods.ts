/**
 * The calls between control replicas.
 * @module
 */
import { z } from "zod";
import { defineMethod } from "../rpc/rpc.ts";
import {
  entrySchema,
  membershipSchema,
  replicaInfoSchema,
} from "./log_store.ts";

const markSchema = z.object({
  identity: z.string(),
  index: z.number(),
  term: z.number(),
});
/** The newest index and term that a replica is known to have made durable. */
export type Mark = z.infer<typeof markSchema>;

/**
 * Identity that a call is meant for. Another replica may have taken its
 * address over, and must not answer in its name.
 */
const to = z.string();

/** Set by a replica that takes no part, or is not the one that was meant. */
const refused = z.literal(true).optional();

/** Asks for a vote; `pre` asks only whether a vote would be granted. */
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

/** Sends entries, or only a heartbeat, from the leader. */
export const appendMethod = defineMethod("append", {
  request: z.object({
    to,
    term: z.number(),
    leader: replicaInfoSchema,
    previousIndex: z.number(),
    previousTerm: z.number(),
    entries: z.array(entrySchema),
    commitIndex: z.number(),
    marks: z.array(markSchema),
  }),
  reply: z.object({
    term: z.number(),
    accepted: z.boolean(),
    lastIndex: z.number(),
    refused,
  }),
});

/** Sends one part of a snapshot from the leader. */
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

/** Asks a peer, at a start, what it knows of the cluster and of the caller. */
export const helloMethod = defineMethod("hello", {
  request: z.object({
    identity: z.string(),
    lastIndex: z.number(),
    term: z.number(),
  }),
  reply: z.object({
    /** Absent as long as the replica has not read its disk. */
    formed: z.boolean().optional(),
    rolledBack: z.boolean(),
    members: membershipSchema,
  }),
});

/** Asks the leader to take the caller in as a learner. */
export const joinMethod = defineMethod("join", {
  request: replicaInfoSchema,
  reply: z.object({ accepted: z.boolean(), leader: z.string() }),
});

/** Tells the most advanced follower to stand for election at once. */
export const handoverMethod = defineMethod("handover", {
  request: z.object({ term: z.number() }),
  reply: z.object({ started: z.boolean() }),
});
