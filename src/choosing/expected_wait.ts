/**
 * The product's policy: the shortest expected time to an answer.
 *
 * The work in flight at a server is one's own, plus a part of what others have
 * there as last reported; a report loses weight with age. Latency counts only
 * when it is clearly above the usual. The longer the answer will be, the more a
 * server in the same failure domain is preferred. Servers that score about the same are
 * told apart at random, so that ingresses do not all choose the same one.
 * @module
 */
import type { Random } from "../core/random.ts";
import {
  type Candidate,
  type Demand,
  type Policy,
  registerPolicy,
  UNKNOWN_DEMAND,
} from "./policy.ts";

const MAX_COMPARED = 16;
/** Share by which a remote server must be better than a local one. */
const LOCAL_ADVANTAGE = 0.95;
/** The same for a long answer, which costs its way between failure domains. */
const LOCAL_ADVANTAGE_LONG = 0.6;
/** Size from which an answer counts as long in full, in bytes. */
const LONG_ANSWER_BYTES = 64 * 1024;
/** Utilization from which a local server has no advantage. */
const SPILL_UTILIZATION = 0.7;
/** Weight of a server's recent failures against its latency. */
const FAILURE_WEIGHT = 20;
/** Multiple of the usual latency from which a server counts as slow. */
const CLEARLY_SLOW = 1.5;
/**
 * Weight of others' work as reported. With full weight all ingresses run after
 * the same report, and crowd the server that it praised.
 */
const REPORT_WEIGHT = 0.15;
/** Cost of a full server against an idle one. */
const UTILIZATION_WEIGHT = 2;
/** Cost of waiting for as many requests as a server runs at once. */
const EXCESS_WEIGHT = 4;
/** Scores this close count as equal. */
const EQUAL_SHARE = 1.02;

class ExpectedWaitPolicy implements Policy {
  constructor(private readonly staleAfterMs: () => number) {}

  choose(
    candidates: readonly Candidate[],
    random: Random,
    demand: Demand = UNKNOWN_DEMAND,
  ): Candidate {
    const compared = sample(candidates, random);
    const usualMs = median(compared.map((candidate) => candidate.latencyMs));
    const advantage = localAdvantage(demand);
    const scores = compared.map((candidate) =>
      this.score(candidate, { usualMs, advantage })
    );
    const limit = Math.min(...scores) * EQUAL_SHARE;
    const equal = compared.filter((_, index) => scores[index] <= limit);
    return equal[random.integer(equal.length)];
  }

  /** Expected time to an answer, as a multiple of the usual one. */
  private score(
    candidate: Candidate,
    { usualMs, advantage }: { usualMs: number; advantage: number },
  ): number {
    const { own, reported, queued, ownAtReport, ageMs } = candidate;
    const weight = Number.isFinite(ageMs)
      ? 1 / (1 + ageMs / this.staleAfterMs())
      : 0;
    const others = Math.max(0, reported + queued - ownAtReport) * weight;
    const busy = own + others * REPORT_WEIGHT;
    const allowed = Math.max(candidate.allowed, 0.5);
    const excess = Math.max(0, busy + 1 - allowed) / allowed;
    const utilization = busy / allowed;
    // Estimates of a few answers are noisy: only clear slowness counts.
    const slowness = Math.max(
      1,
      candidate.latencyMs / (usualMs * CLEARLY_SLOW),
    );
    const unreliability = 1 + FAILURE_WEIGHT * candidate.failures ** 2;
    const wait = Math.max(slowness, candidate.slowness) * unreliability *
      (1 + UTILIZATION_WEIGHT * utilization ** 2 + EXCESS_WEIGHT * excess);
    const preferred = candidate.local && utilization < SPILL_UTILIZATION;
    return preferred ? wait * advantage : wait;
  }
}

/** Factor on the expected wait at a local server; below 1. */
function localAdvantage({ answerBytes }: Demand): number {
  const long = Math.min(1, answerBytes / LONG_ANSWER_BYTES);
  return LOCAL_ADVANTAGE + long * (LOCAL_ADVANTAGE_LONG - LOCAL_ADVANTAGE);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((one, other) => one - other);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

/** Returns all of few candidates, or a random part of many. */
function sample(
  candidates: readonly Candidate[],
  random: Random,
): readonly Candidate[] {
  if (candidates.length <= MAX_COMPARED) {
    return candidates;
  }
  const chosen = new Set<number>();
  while (chosen.size < MAX_COMPARED) {
    chosen.add(random.integer(candidates.length));
  }
  return [...chosen].map((index) => candidates[index]);
}

registerPolicy(
  "expected_wait",
  ({ staleAfterMs }) => new ExpectedWaitPolicy(staleAfterMs),
);
