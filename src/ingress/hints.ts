/**
 * What an ingress has noticed of backend servers: hints for choosing, always a
 * little out of date.
 * @module
 */
import type { Candidate } from "../choosing/mod.ts";
import type { Member } from "../control/commands.ts";
import type { Load } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";

/** What is noticed of one backend server. */
interface Hint {
  /** Own attempts in flight, oldest first. */
  started: Map<number, { at: number; usualMs: number }>;
  load: Load | undefined;
  loadAt: number;
  ownAtReport: number;
  latencyMs: number;
  latencyAt: number;
  failures: number;
  failuresAt: number;
}

/** How one attempt ended, for the hints. */
export interface Observation {
  latencyMs: number;
  ok: boolean;
  /** The attempt was given up on, so its latency is a lower bound. */
  cancelled?: boolean;
  load?: Load;
}

/** Hints about all backend servers of a node's services. */
export interface Hints {
  /**
   * An attempt goes out; call the result once, when it has ended. `usualMs` is
   * what such a request usually takes, so that kinds can be compared.
   */
  begin(
    server: string,
    usualMs?: number,
  ): (observation: Observation | undefined) => void;
  /** A load report came without an attempt. */
  report(server: string, load: Load): void;
  /** Returns what is known of a member. */
  candidate(member: Member, domain: string): Candidate;
  /**
   * Incarnation of a member's guard: as the guard itself last told, which is
   * newer than what control has told, or else as control has told.
   */
  incarnationOf(member: Member): string;
  /** Whether nothing recent is known of a server. */
  isUnknown(server: string): boolean;
  /** Forgets a server, since it was replaced. */
  forget(server: string): void;
}

const LATENCY_WEIGHT = 0.15;
const FAILURE_WEIGHT = 0.2;
const INITIAL_LATENCY_MS = 5;
/** A failure counts as an answer that took this many times as long. */
const FAILURE_SLOWNESS = 10;
const MIN_FAILURE_LATENCY_MS = 50;
/** Time in which remembered failures and slowness halve. */
const FORGIVE_HALF_LIFE_MS = 2_000;
const UNKNOWN_AFTER_MS = 5_000;
/** Time in which a report of slowness loses half of its weight. */
const SLOWNESS_HALF_LIFE_MS = 100;

/** Creates hints that know nothing yet. */
export function createHints(timer: Timer): Hints {
  const hints = new Map<string, Hint>();
  let nextId = 0;

  function hintOf(server: string): Hint {
    const known = hints.get(server) ?? {
      started: new Map(),
      load: undefined,
      loadAt: -Infinity,
      ownAtReport: 0,
      latencyMs: INITIAL_LATENCY_MS,
      latencyAt: timer.now(),
      failures: 0,
      failuresAt: timer.now(),
    };
    hints.set(server, known);
    return known;
  }

  /** Age of the oldest attempt in flight: it will take at least as long. */
  function oldestAge(hint: Hint, now: number): number {
    if (hint.started.size === 0) {
      return 0;
    }
    const { at, usualMs } = hint.started.values().next().value!;
    return relative(now - at, usualMs);
  }

  /** Expresses a latency as if the usual one were the initial estimate. */
  function relative(latencyMs: number, usualMs: number): number {
    return latencyMs * INITIAL_LATENCY_MS / usualMs;
  }

  function takeLoad(hint: Hint, load: Load): void {
    hint.load = load;
    hint.loadAt = timer.now();
    hint.ownAtReport = hint.started.size;
  }

  /** Share of an observation that still counts after some time. */
  function remembered(ageMs: number): number {
    return 0.5 ** (ageMs / FORGIVE_HALF_LIFE_MS);
  }

  /** Lets old failures fade, so that a server gets another chance. */
  function currentFailures(hint: Hint, now: number): number {
    return hint.failures === 0
      ? 0
      : hint.failures * remembered(now - hint.failuresAt);
  }

  /** Lets old slowness fade too: a server seen slow long ago is tried again. */
  function currentLatency(hint: Hint, now: number): number {
    const excess = hint.latencyMs - INITIAL_LATENCY_MS;
    return excess <= 0
      ? hint.latencyMs
      : INITIAL_LATENCY_MS + excess * remembered(now - hint.latencyAt);
  }

  /** Slowness as last reported, which says little after a short time. */
  function currentSlowness(hint: Hint, now: number): number {
    const slowness = hint.load?.slowness ?? 1;
    if (slowness === 1) {
      return 1;
    }
    const share = 0.5 ** ((now - hint.loadAt) / SLOWNESS_HALF_LIFE_MS);
    return 1 + (slowness - 1) * share;
  }

  function observe(hint: Hint, observation: Observation): void {
    const { ok, latencyMs, load, cancelled } = observation;
    const now = timer.now();
    if (cancelled && latencyMs <= currentLatency(hint, now)) {
      return;
    }
    const sample = ok
      ? latencyMs
      : Math.max(MIN_FAILURE_LATENCY_MS, latencyMs * FAILURE_SLOWNESS);
    // The longer nothing was noticed, the more the new sample counts.
    const weight = Math.max(
      LATENCY_WEIGHT,
      1 - remembered(now - hint.latencyAt),
    );
    hint.latencyMs += weight * (sample - hint.latencyMs);
    hint.latencyAt = now;
    const failures = currentFailures(hint, now);
    hint.failures = failures + FAILURE_WEIGHT * ((ok ? 0 : 1) - failures);
    hint.failuresAt = now;
    if (load) {
      takeLoad(hint, load);
    }
  }

  return {
    begin(server, usualMs = INITIAL_LATENCY_MS) {
      const hint = hintOf(server);
      const id = nextId++;
      hint.started.set(id, { at: timer.now(), usualMs });
      return (observation) => {
        if (hint.started.delete(id) && observation) {
          const latencyMs = relative(observation.latencyMs, usualMs);
          observe(hint, { ...observation, latencyMs });
        }
      };
    },
    report: (server, load) => takeLoad(hintOf(server), load),
    candidate(member, domain) {
      const hint = hintOf(member.server);
      const now = timer.now();
      return {
        server: member.server,
        local: member.domain === domain,
        own: hint.started.size,
        reported: hint.load?.inFlight ?? 0,
        queued: hint.load?.queued ?? 0,
        allowed: hint.load?.allowed ?? member.slots,
        ageMs: now - hint.loadAt,
        ownAtReport: hint.ownAtReport,
        latencyMs: Math.max(currentLatency(hint, now), oldestAge(hint, now)),
        slowness: currentSlowness(hint, now),
        failures: currentFailures(hint, now),
      };
    },
    incarnationOf: (member) =>
      hints.get(member.server)?.load?.incarnation ?? member.incarnation,
    isUnknown: (server) =>
      timer.now() - hintOf(server).loadAt > UNKNOWN_AFTER_MS,
    forget: (server) => hints.delete(server),
  };
}
