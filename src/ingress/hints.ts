/**
 * Load, latency and failure rate of backend servers as observed by an ingress.
 * They are hints for choosing a server, and always slightly out of date.
 * @module
 */
import type { Candidate } from "../choosing/mod.ts";
import type { Member } from "../control/commands.ts";
import type { Load } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";

/** Observations of one backend server. */
interface ServerHint {
  /** Attempts that this ingress has in flight, oldest first. */
  attempts: Map<number, { at: number; usualMs: number }>;
  load: Load | undefined;
  loadAt: number;
  inFlightAtReport: number;
  latencyMs: number;
  latencyAt: number;
  failureRate: number;
  failureRateAt: number;
}

/** Result of one attempt as far as it concerns the hints. */
export interface Observation {
  latencyMs: number;
  ok: boolean;
  /**
   * Whether the attempt was cancelled, so that its latency is a lower bound.
   */
  cancelled?: boolean;
  load?: Load;
}

/** Hints about the backend servers known to an ingress. */
export interface Hints {
  /**
   * Records that an attempt starts, and returns a function to be called when it
   * has ended. Latencies are divided by `usualMs`, the usual latency of the
   * request class, so that classes can be compared.
   */
  startAttempt(
    server: string,
    usualMs?: number,
  ): (observation: Observation | undefined) => void;
  /** Records a load report that came without the end of an attempt. */
  recordLoad(server: string, load: Load): void;
  /** Returns the state of a member for a choosing policy. */
  candidate(member: Member, domain: string): Candidate;
  /**
   * Returns the incarnation of a member's guard. The last load report of the
   * guard takes precedence, since it is newer than the view from control.
   */
  incarnationOf(member: Member): string;
  /** Returns whether there is no recent load report of a server. */
  lacksRecentReport(server: string): boolean;
  /**
   * Whether a member's run of its server said that it leaves. This outlasts the
   * guard's restart and the member's registration.
   */
  isLeaving(member: Member): boolean;
  /** Discards the observations of a server that was replaced. */
  forget(server: string): void;
}

/** Least weight of a new sample in the latency estimate. */
const LATENCY_WEIGHT = 0.15;
/** Weight of a new attempt in the failure rate. */
const FAILURE_WEIGHT = 0.2;
const INITIAL_LATENCY_MS = 5;
/** Factor by which the latency of a failed attempt is multiplied. */
const FAILURE_LATENCY_FACTOR = 10;
const MIN_FAILURE_LATENCY_MS = 50;
/** Half-life of the failure rate and of excess latency. */
const DECAY_HALF_LIFE_MS = 2_000;
const MAX_RECENT_REPORT_AGE_MS = 5_000;
/** Half-life of a reported slowness. */
const SLOWNESS_HALF_LIFE_MS = 100;

/** Creates hints without observations. */
export function createHints(timer: Timer): Hints {
  const hints = new Map<string, ServerHint>();
  /** Last run of each server that is known to leave. */
  const leavingBoots = new Map<string, string>();
  let nextId = 0;

  function hintOf(server: string): ServerHint {
    const hint = hints.get(server) ?? {
      attempts: new Map(),
      load: undefined,
      loadAt: -Infinity,
      inFlightAtReport: 0,
      latencyMs: INITIAL_LATENCY_MS,
      latencyAt: timer.now(),
      failureRate: 0,
      failureRateAt: timer.now(),
    };
    hints.set(server, hint);
    return hint;
  }

  /**
   * Returns the normalized age of the oldest attempt, which is a lower bound of
   * its latency.
   */
  function oldestAttemptMs(hint: ServerHint, now: number): number {
    if (hint.attempts.size === 0) {
      return 0;
    }
    const { at, usualMs } = hint.attempts.values().next().value!;
    return normalizeMs(now - at, usualMs);
  }

  /** Scales a latency so that the usual one equals the initial estimate. */
  function normalizeMs(latencyMs: number, usualMs: number): number {
    return latencyMs * INITIAL_LATENCY_MS / usualMs;
  }

  function noteLeaving(server: string, load: Load | undefined): void {
    if (load?.leavingBoot !== undefined) {
      leavingBoots.set(server, load.leavingBoot);
    }
  }

  function setLoad(hint: ServerHint, load: Load): void {
    hint.load = load;
    hint.loadAt = timer.now();
    hint.inFlightAtReport = hint.attempts.size;
  }

  /** Returns the weight that an observation keeps at an age. */
  function decayFactor(ageMs: number): number {
    return 0.5 ** (ageMs / DECAY_HALF_LIFE_MS);
  }

  /**
   * Returns the decayed failure rate, so that a failed server is tried again.
   */
  function currentFailureRate(hint: ServerHint, now: number): number {
    return hint.failureRate === 0
      ? 0
      : hint.failureRate * decayFactor(now - hint.failureRateAt);
  }

  /**
   * Returns the latency with decayed excess, so that a slow server is tried
   * again.
   */
  function currentLatency(hint: ServerHint, now: number): number {
    const excessMs = hint.latencyMs - INITIAL_LATENCY_MS;
    return excessMs <= 0
      ? hint.latencyMs
      : INITIAL_LATENCY_MS + excessMs * decayFactor(now - hint.latencyAt);
  }

  /** Returns the reported slowness, which is valid only for a short time. */
  function currentSlowness(hint: ServerHint, now: number): number {
    const slowness = hint.load?.slowness ?? 1;
    if (slowness === 1) {
      return 1;
    }
    const weight = 0.5 ** ((now - hint.loadAt) / SLOWNESS_HALF_LIFE_MS);
    return 1 + (slowness - 1) * weight;
  }

  function observe(hint: ServerHint, observation: Observation): void {
    const { ok, latencyMs, load, cancelled } = observation;
    const now = timer.now();
    if (cancelled && latencyMs <= currentLatency(hint, now)) {
      return;
    }
    const sampleMs = ok
      ? latencyMs
      : Math.max(MIN_FAILURE_LATENCY_MS, latencyMs * FAILURE_LATENCY_FACTOR);
    // The older the last sample, the more weight the new one has.
    const weight = Math.max(
      LATENCY_WEIGHT,
      1 - decayFactor(now - hint.latencyAt),
    );
    hint.latencyMs += weight * (sampleMs - hint.latencyMs);
    hint.latencyAt = now;
    const failureRate = currentFailureRate(hint, now);
    hint.failureRate = failureRate +
      FAILURE_WEIGHT * ((ok ? 0 : 1) - failureRate);
    hint.failureRateAt = now;
    if (load) {
      setLoad(hint, load);
    }
  }

  return {
    startAttempt(server, usualMs = INITIAL_LATENCY_MS) {
      const hint = hintOf(server);
      const id = nextId++;
      hint.attempts.set(id, { at: timer.now(), usualMs });
      return (observation) => {
        noteLeaving(server, observation?.load);
        if (hint.attempts.delete(id) && observation) {
          const latencyMs = normalizeMs(observation.latencyMs, usualMs);
          observe(hint, { ...observation, latencyMs });
        }
      };
    },
    recordLoad(server, load) {
      noteLeaving(server, load);
      setLoad(hintOf(server), load);
    },
    isLeaving: ({ server, boot }) => leavingBoots.get(server) === boot,
    candidate(member, domain) {
      const hint = hintOf(member.server);
      const now = timer.now();
      return {
        server: member.server,
        sameDomain: member.domain === domain,
        ownInFlight: hint.attempts.size,
        reportedInFlight: hint.load?.inFlight ?? 0,
        queued: hint.load?.queued ?? 0,
        allowed: hint.load?.allowed ?? member.slots,
        reportAgeMs: now - hint.loadAt,
        ownInFlightAtReport: hint.inFlightAtReport,
        latencyMs: Math.max(
          currentLatency(hint, now),
          oldestAttemptMs(hint, now),
        ),
        slowness: currentSlowness(hint, now),
        failureRate: currentFailureRate(hint, now),
      };
    },
    incarnationOf: (member) =>
      hints.get(member.server)?.load?.incarnation ?? member.incarnation,
    lacksRecentReport: (server) =>
      timer.now() - hintOf(server).loadAt > MAX_RECENT_REPORT_AGE_MS,
    forget: (server) => hints.delete(server),
  };
}
