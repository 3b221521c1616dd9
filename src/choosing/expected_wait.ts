/**
 * The default policy: chooses the server with the shortest expected response
 * time.
 *
 * The requests in flight at a server are estimated as those of this ingress
 * plus a part of those that other ingresses had there at the last report; the
 * weight of a report falls with its age. Latency affects the score only if it
 * is clearly above the median. The larger the expected answer, the more a
 * server in the same failure domain is preferred. Among servers with about
 * equal scores one is chosen at random, so that ingresses do not all choose the
 * same one.
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
import { sample } from "./sample.ts";

/** Factor on the score of a server in the same failure domain. */
const SAME_DOMAIN_FACTOR = 0.95;
/** The factor for a long answer, whose transfer between domains is costly. */
const SAME_DOMAIN_FACTOR_LONG = 0.6;
/** Answer size from which the factor for long answers applies in full. */
const LONG_ANSWER_BYTES = 64 * 1024;
/** Utilization from which a server in the same domain is not preferred. */
const SPILL_UTILIZATION = 0.7;
/** Weight of the squared failure rate in the score. */
const FAILURE_WEIGHT = 20;
/** Multiple of the median latency from which a server counts as slow. */
const SLOW_LATENCY_RATIO = 1.5;
/**
 * Weight of the reported requests of other ingresses. At full weight, all
 * ingresses react to the same report and overload the server that looked idle.
 */
const REPORT_WEIGHT = 0.15;
/** Weight of the squared utilization in the score. */
const UTILIZATION_WEIGHT = 2;
/** Weight of requests above the concurrency limit, as a multiple of it. */
const EXCESS_WEIGHT = 4;
/** Scores within this ratio of the best count as equal. */
const EQUAL_SCORE_RATIO = 1.02;

class ExpectedWaitPolicy implements Policy {
  constructor(private readonly staleAfterMs: () => number) {}

  choose(
    candidates: readonly Candidate[],
    random: Random,
    demand: Demand = UNKNOWN_DEMAND,
  ): Candidate {
    const sampled = sample(candidates, random);
    const medianMs = median(sampled.map((candidate) => candidate.latencyMs));
    const domainFactor = sameDomainFactor(demand);
    const scores = sampled.map((candidate) =>
      this.score(candidate, { medianMs, domainFactor })
    );
    const scoreLimit = Math.min(...scores) * EQUAL_SCORE_RATIO;
    const equal = sampled.filter((_, index) => scores[index] <= scoreLimit);
    return equal[random.integer(equal.length)];
  }

  /** Returns the expected response time, relative to the usual one. */
  private score(
    candidate: Candidate,
    { medianMs, domainFactor }: { medianMs: number; domainFactor: number },
  ): number {
    const {
      ownInFlight,
      reportedInFlight,
      queued,
      ownInFlightAtReport,
      reportAgeMs,
    } = candidate;
    const reportWeight = Number.isFinite(reportAgeMs)
      ? 1 / (1 + reportAgeMs / this.staleAfterMs())
      : 0;
    const othersInFlight =
      Math.max(0, reportedInFlight + queued - ownInFlightAtReport) *
      reportWeight;
    const expectedInFlight = ownInFlight + othersInFlight * REPORT_WEIGHT;
    const limit = Math.max(candidate.allowed, 0.5);
    const excess = Math.max(0, expectedInFlight + 1 - limit) / limit;
    const utilization = expectedInFlight / limit;
    // Latency estimates from few answers are noisy, so a small excess is
    // ignored.
    const slowness = Math.max(
      1,
      candidate.latencyMs / (medianMs * SLOW_LATENCY_RATIO),
    );
    const failurePenalty = 1 + FAILURE_WEIGHT * candidate.failureRate ** 2;
    const wait = Math.max(slowness, candidate.slowness) * failurePenalty *
      (1 + UTILIZATION_WEIGHT * utilization ** 2 + EXCESS_WEIGHT * excess);
    const prefersDomain = candidate.sameDomain &&
      utilization < SPILL_UTILIZATION;
    return prefersDomain ? wait * domainFactor : wait;
  }
}

/** Returns the factor on the score of a server in the same domain; below 1. */
function sameDomainFactor({ answerBytes }: Demand): number {
  const longShare = Math.min(1, answerBytes / LONG_ANSWER_BYTES);
  return SAME_DOMAIN_FACTOR +
    longShare * (SAME_DOMAIN_FACTOR_LONG - SAME_DOMAIN_FACTOR);
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.floor((sorted.length - 1) / 2)];
}

registerPolicy(
  "expected_wait",
  ({ staleAfterMs }) => new ExpectedWaitPolicy(staleAfterMs),
);
