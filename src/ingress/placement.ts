/**
 * Selects the backend server for a request. The server on this VM is used while
 * it can start the request immediately; otherwise the policy chooses among all
 * servers by the load and latency known for each.
 *
 * Preferring the local server saves processor time on a busy VM: it needs no
 * exchange with another node, and its state is known exactly.
 * @module
 */
import { type Candidate, type Policy, sample } from "../choosing/mod.ts";
import type { Member } from "../control/commands.ts";
import type { Random } from "../core/random.ts";
import { MEDIAN, type Metrics } from "../metrics/metrics.ts";
import type { Directory } from "../node/directory.ts";
import type { AnswerSizes } from "./answer_sizes.ts";
import { findEarliestOfFull, readReports } from "./fleet_state.ts";
import type { Hints } from "./hints.ts";
import type { RoutedCall } from "./routed_call.ts";
import type { FleetState } from "./search.ts";

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
  /** Returns whether the server on this VM can start a request immediately. */
  canStartLocally: (service: string) => boolean;
}

/** Selects backend servers for requests. */
export interface Placement {
  /** Chooses a backend server that is not in `avoid`, if there is one. */
  choose(routed: RoutedCall, avoid: ReadonlySet<string>): Member | undefined;
  /** Describes the load of the request's servers that are not in `avoid`. */
  fleetState(routed: RoutedCall, avoid: ReadonlySet<string>): FleetState;
}

/** Share of requests sent to cold servers; low enough not to affect p99. */
const WARM_UP_SHARE = 0.008;
/** Processing time assumed for a request class without measurements. */
const DEFAULT_WORK_MS = 50;

/** Creates a placement. */
export function createPlacement(options: PlacementOptions): Placement {
  const { vm, domain, directory, hints, policy, sizes } = options;
  const { metrics, random, canStartLocally } = options;

  /** Returns the members that are in service and not in `avoid`. */
  function findAvailableMembers(
    { route }: RoutedCall,
    avoid: ReadonlySet<string>,
  ): Member[] {
    const members = directory.service(route.service)?.members ?? [];
    return members.filter((member) =>
      directory.inService(member) && !avoid.has(member.server) &&
      !hints.isLeaving(member)
    );
  }

  function withIncarnation(member: Member): Member {
    return { ...member, incarnation: hints.incarnationOf(member) };
  }

  /** Returns the server on this VM if it can start a request immediately. */
  function findLocalServer(
    { route: { service } }: RoutedCall,
    avoid: ReadonlySet<string>,
  ): Member | undefined {
    return avoid.has(vm) || !canStartLocally(service)
      ? undefined
      : directory.service(service)?.members.find((member) =>
        member.server === vm
      );
  }

  function* candidatesOf(members: readonly Member[]): Generator<Candidate> {
    for (const member of members) {
      yield toCandidate(member);
    }
  }

  function toCandidate(member: Member): Candidate {
    return hints.candidate(member, domain);
  }

  /**
   * Returns a cold server with spare capacity. A server warms up only by
   * processing requests, and the policy would not choose a cold one.
   */
  function chooseColdServer(available: readonly Member[]): Member | undefined {
    const cold = available.filter((member) => {
      const { allowed, ownInFlight } = toCandidate(member);
      return allowed > 0 && allowed < member.slots && ownInFlight < allowed;
    });
    return cold[random.integer(Math.max(1, cold.length))];
  }

  /** Chooses among a sample, since each server that is compared costs time. */
  function chooseByPolicy(
    { settings }: RoutedCall,
    available: readonly Member[],
  ): Member | undefined {
    const compared = sample(available, random);
    const { server } = policy.choose(compared.map(toCandidate), random, {
      answerBytes: sizes.averageBytes(settings.class),
    });
    return compared.find((member) => member.server === server);
  }

  return {
    choose(routed, avoid) {
      const local = findLocalServer(routed, avoid);
      if (local) {
        return withIncarnation(local);
      }
      const available = findAvailableMembers(routed, avoid);
      if (available.length === 0) {
        return undefined;
      }
      const warmsUp = random.fraction() < WARM_UP_SHARE;
      const member = (warmsUp ? chooseColdServer(available) : undefined) ??
        chooseByPolicy(routed, available);
      return member && withIncarnation(member);
    },
    fleetState(routed, avoid) {
      if (findLocalServer(routed, avoid)) {
        return { allReported: false };
      }
      const available = findAvailableMembers(routed, avoid);
      const { allReported, full } = readReports(candidatesOf(available));
      if (!full) {
        return { allReported };
      }
      const usualWorkMs = () =>
        metrics.quantile(routed.settings.class, MEDIAN) ?? DEFAULT_WORK_MS;
      const earliest = findEarliestOfFull(full, { usualWorkMs, random });
      const member = available.find((member) =>
        member.server === earliest?.server
      );
      return !earliest || !member ? { allReported } : {
        allReported,
        earliest: { member: withIncarnation(member), waitMs: earliest.waitMs },
      };
    },
  };
}
