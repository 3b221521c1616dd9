/**
 * Where a request goes: the server on this VM while it would begin the request
 * at once, else the one that the policy prefers by what is known of each.
 *
 * Answers a load that leaves a VM little processor time: a server beside this
 * process costs no exchange with another node, and its state is known exactly.
 * @module
 */
import type { Candidate, Policy } from "../choosing/mod.ts";
import type { Member } from "../control/commands.ts";
import type { Random } from "../core/random.ts";
import type { Metrics } from "../metrics/metrics.ts";
import type { Directory } from "../node/directory.ts";
import type { AnswerSizes } from "./answer_sizes.ts";
import { MEDIAN } from "./attempt.ts";
import { firstFreeOfFull, isKnown } from "./fleet_state.ts";
import type { Hints } from "./hints.ts";
import type { RoutedCall } from "./ingress.ts";
import type { FleetOutlook } from "./search.ts";

/** Options of {@link createPlacement}. */
export interface PlacementOptions {
  vm: string;
  domain: string;
  directory: Directory;
  hints: Hints;
  policy: Policy;
  sizes: AnswerSizes;
  metrics: Metrics;
  random: Random;
  /** Whether the server on this VM would begin a request at once. */
  startsHere: (service: string) => boolean;
}

/** Chooses servers. */
export interface Placement {
  /** Chooses a backend server for a request, but for some. */
  choose(routed: RoutedCall, avoid: ReadonlySet<string>): Member | undefined;
  /** What is known of the servers of a request, but for some. */
  outlook(routed: RoutedCall, avoid: ReadonlySet<string>): FleetOutlook;
}

/** Share of calls spent on warming servers; below what p99 shows. */
const WARMING_SHARE = 0.008;
/** Time that work is taken to need while nothing is known of it, in ms. */
const UNKNOWN_WORK_MS = 50;

/** Creates a placement. */
export function createPlacement(options: PlacementOptions): Placement {
  const { vm, domain, directory, hints, policy, sizes } = options;
  const { metrics, random, startsHere } = options;

  /** Members in service of a request's service, but for some. */
  function openMembers(
    { route }: RoutedCall,
    avoid: ReadonlySet<string>,
  ): Member[] {
    const members = directory.service(route.service)?.members ?? [];
    return members.filter((member) =>
      directory.inService(member) && !avoid.has(member.server)
    );
  }

  function withIncarnation(member: Member): Member {
    return { ...member, incarnation: hints.incarnationOf(member) };
  }

  /** The server on this VM, if it would begin a request at once. */
  function here(
    { route: { service } }: RoutedCall,
    avoid: ReadonlySet<string>,
  ): Member | undefined {
    return avoid.has(vm) || !startsHere(service)
      ? undefined
      : directory.service(service)?.members.find((one) => one.server === vm);
  }

  /**
   * Now and then returns a cold server with room: it only warms up by work,
   * which it would never get by being the best choice.
   */
  function warming(
    open: readonly Member[],
    candidates: readonly Candidate[],
  ): Candidate | undefined {
    if (random.fraction() >= WARMING_SHARE) {
      return undefined;
    }
    const cold = candidates.filter((candidate, index) =>
      candidate.allowed > 0 && candidate.allowed < open[index].slots &&
      candidate.own < candidate.allowed
    );
    return cold[random.integer(Math.max(1, cold.length))];
  }

  return {
    choose(routed, avoid) {
      const own = here(routed, avoid);
      if (own) {
        return withIncarnation(own);
      }
      const open = openMembers(routed, avoid);
      if (open.length === 0) {
        return undefined;
      }
      const candidates = open.map((one) => hints.candidate(one, domain));
      const chosen = warming(open, candidates) ??
        policy.choose(candidates, random, {
          answerBytes: sizes.of(routed.settings.class),
        });
      const member = open.find((one) => one.server === chosen.server);
      return member && withIncarnation(member);
    },
    outlook(routed, avoid) {
      if (here(routed, avoid)) {
        return { allKnown: false };
      }
      const open = openMembers(routed, avoid);
      const candidates = open.map((one) => hints.candidate(one, domain));
      const allKnown = open.length > 0 && candidates.every(isKnown);
      const usualMs = () =>
        metrics.quantile(routed.settings.class, MEDIAN) ?? UNKNOWN_WORK_MS;
      const first = firstFreeOfFull(candidates, { usualMs, random });
      const member = open.find((one) => one.server === first?.server);
      return !first || !member ? { allKnown } : {
        allKnown,
        firstFree: { member: withIncarnation(member), waitMs: first.waitMs },
      };
    },
  };
}
