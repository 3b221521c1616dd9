/**
 * The product's policy: the shortest expected time to an answer.
 *
 * The work in flight at a server is what it last reported, plus what was sent
 * there since. A report loses weight with age, down to the mean of what
 * one's own traffic suggests. Equal servers are told apart at random, so that
 * many ingresses with the same report do not all choose the same server.
 * @module
 */
import type { Random } from "../core/random.ts";
import { type Candidate, type Policy, registerPolicy } from "./policy.ts";

const MAX_COMPARED = 16;
/** Share by which a remote server must be better than a local one. */
const LOCAL_ADVANTAGE = 0.85;
/** Weight of a server's recent failures against its latency. */
const FAILURE_WEIGHT = 20;
/** Scores this close count as equal. */
const EQUAL_SHARE = 1.05;

class ExpectedWaitPolicy implements Policy {
  constructor(private readonly staleAfterMs: number) {}

  choose(candidates: readonly Candidate[], random: Random): Candidate {
    const compared = sample(candidates, random);
    const scores = compared.map((candidate) => this.score(candidate));
    const limit = Math.min(...scores) * EQUAL_SHARE;
    const equal = compared.filter((_, index) => scores[index] <= limit);
    return equal[random.integer(equal.length)];
  }

  /** Expected time to an answer in milliseconds, or any multiple of it. */
  private score(candidate: Candidate): number {
    const { own, reported, queued, ownAtReport, ageMs } = candidate;
    const weight = Number.isFinite(ageMs)
      ? 1 / (1 + ageMs / this.staleAfterMs)
      : 0;
    const others = Math.max(0, reported + queued - ownAtReport) * weight;
    const busy = own + others;
    const allowed = Math.max(candidate.allowed, 0.5);
    const excess = Math.max(0, busy + 1 - allowed) / allowed;
    const utilization = busy / allowed;
    const latency = candidate.latencyMs *
      (1 + FAILURE_WEIGHT * candidate.failures ** 2);
    const wait = latency * (1 + 0.5 * utilization + 4 * excess);
    return candidate.local ? wait * LOCAL_ADVANTAGE : wait;
  }
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
