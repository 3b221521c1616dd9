/**
 * Whether all backend servers that a request could go to are known to be full
 * or slow at this moment, and which of them would begin it first.
 *
 * Answers a load above what the fleet can do: asking guard after guard for a
 * better place then finds none, and takes processor time just when that lacks.
 * What is not known, or was known too long ago, counts as room.
 * @module
 */
import type { Candidate } from "../choosing/mod.ts";
import type { Random } from "../core/random.ts";
import { isSlow, REPORT_STALE_MS } from "../guard/load_shedding.ts";

/** The server that would begin a request first, if all are full. */
export interface FirstFree {
  server: string;
  /** Estimate of the wait there, in milliseconds. */
  waitMs: number;
}

/** Age past which a report does not tell that a server is full, in ms. */
const FRESH_MS = 100;
/** Time that a slow spell is expected to go on, in milliseconds. */
const SPELL_MS = 100;
/** Estimates this close count as equal. */
const EQUAL_SHARE = 1.05;
/** Weight of a server's recent failures against its times. */
const FAILURE_WEIGHT = 20;

/** Whether a report of it says something of the present. */
export function isKnown({ ageMs }: Candidate): boolean {
  return ageMs <= REPORT_STALE_MS;
}

/** Whether a fresh report says that a request would have to wait there. */
export function isKnownFull(candidate: Candidate): boolean {
  const { ageMs, reported, queued, allowed, slowness } = candidate;
  return ageMs <= FRESH_MS &&
    (queued > 0 || reported >= allowed || isSlow(slowness));
}

/** Estimates the wait at a server for work that usually takes some time. */
function waitMsAt(candidate: Candidate, usualMs: number): number {
  const { own, ownAtReport, reported, queued, allowed } = candidate;
  const since = Math.max(0, own - ownAtReport);
  const missing = Math.max(0, reported + queued + since + 1 - allowed);
  const turnMs = missing * usualMs / Math.max(0.5, allowed);
  const slowMs = isSlow(candidate.slowness)
    ? Math.min(SPELL_MS, (candidate.slowness - 1) * usualMs)
    : 0;
  return Math.max(turnMs, slowMs);
}

/** Estimates what it costs to go to a server, failures counting as time. */
function costMsAt(candidate: Candidate, usualMs: number): number {
  const unreliability = 1 + FAILURE_WEIGHT * candidate.failures ** 2;
  return (waitMsAt(candidate, usualMs) + usualMs) * unreliability;
}

/** Returns the server with the shortest wait, if all are known to be full. */
export function firstFreeOfFull(
  candidates: readonly Candidate[],
  { usualMs, random }: { usualMs: () => number; random: Random },
): FirstFree | undefined {
  if (candidates.length === 0 || !candidates.every(isKnownFull)) {
    return undefined;
  }
  const workMs = usualMs();
  const costs = candidates.map((one) => costMsAt(one, workMs));
  const limit = Math.min(...costs) * EQUAL_SHARE;
  const best = candidates.filter((_, index) => costs[index] <= limit);
  const chosen = best[random.integer(best.length)];
  return { server: chosen.server, waitMs: waitMsAt(chosen, workMs) };
}
