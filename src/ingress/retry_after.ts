/**
 * Times after which the callers of refused requests are asked to come back,
 * spread so that they do not all come back at the same moment.
 *
 * The load that this answers: a node that has just started, or a service whose
 * servers are all gone. Callers that come back at once have used up their
 * retries before anything can have changed.
 * @module
 */
import type { Random } from "../core/random.ts";
import { notRunReply, type Reply } from "./call.ts";

/** Largest random share that is added to a time. */
const SPREAD = 0.5;
/**
 * Time after which a node without a confirmed view, or without a server for a
 * request, may have one: control elects a leader in about that time.
 */
const STARTING_MS = 500;

/** Adds a random part to a time. */
export function spreadOut(ms: number, random: Random): number {
  return ms * (1 + SPREAD * random.fraction());
}

/** Returns when to come back to a node that cannot choose a server yet. */
export function retryAfterStart(random: Random): number {
  return spreadOut(STARTING_MS, random);
}

/** Creates the reply of a node that does not know its routes yet. */
export function notReadyReply(random: Random): Reply {
  const retryAfterMs = retryAfterStart(random);
  return notRunReply("not_ready", { attempts: 0, retryAfterMs });
}
