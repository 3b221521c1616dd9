/**
 * Simple policies that serve as baselines in benchmarks.
 * @module
 */
import type { Random } from "../core/random.ts";
import { type Candidate, type Policy, registerPolicy } from "./policy.ts";

/** Chooses each candidate with equal probability. */
class RandomPolicy implements Policy {
  choose(candidates: readonly Candidate[], random: Random): Candidate {
    return candidates[random.integer(candidates.length)];
  }
}

/** Chooses the candidates in rotation. */
class RoundRobinPolicy implements Policy {
  private nextIndex = 0;

  choose(candidates: readonly Candidate[]): Candidate {
    this.nextIndex++;
    return candidates[this.nextIndex % candidates.length];
  }
}

/** Chooses a candidate where this ingress has the fewest requests in flight. */
class LeastOwnPolicy implements Policy {
  choose(candidates: readonly Candidate[], random: Random): Candidate {
    const leastInFlight = Math.min(
      ...candidates.map((candidate) => candidate.ownInFlight),
    );
    const equal = candidates.filter((candidate) =>
      candidate.ownInFlight === leastInFlight
    );
    return equal[random.integer(equal.length)];
  }
}

/** Chooses the less loaded of two random candidates. */
class TwoChoicesPolicy implements Policy {
  choose(candidates: readonly Candidate[], random: Random): Candidate {
    const first = candidates[random.integer(candidates.length)];
    const second = candidates[random.integer(candidates.length)];
    const loadOf = (candidate: Candidate): number =>
      candidate.reportedInFlight + candidate.ownInFlight;
    return loadOf(first) <= loadOf(second) ? first : second;
  }
}

registerPolicy("random", () => new RandomPolicy());
registerPolicy("round_robin", () => new RoundRobinPolicy());
registerPolicy("least_own", () => new LeastOwnPolicy());
registerPolicy("two_choices", () => new TwoChoicesPolicy());
