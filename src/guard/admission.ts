/**
 * Admission at a guard: exact counts decide what runs, what waits shortly and
 * what is refused.
 * @module
 */
import type { Cancellation } from "../core/cancellation.ts";
import type { RefusalReason } from "../network/frames.ts";
import type { Timer } from "../time/timer.ts";
import type { Subscription } from "../time/timer.ts";
import {
  canEnd,
  inTimeLeftMs,
  longestWaitMs,
  type Timing,
} from "./queue_timeout.ts";
import { expectedWaitMs } from "./wait_estimate.ts";
import type { Warmup } from "./warmup.ts";

import { createFairQueue, type Standing, type Waiting } from "./queue.ts";

/** Factor on the expected turn of a request, for what may still overtake it. */
const OVERTAKEN_FACTOR = 1.4;
/** The same for what is late: all that is in time goes before it. */
const LATE_OVERTAKEN_FACTOR = 2;
/** Weight of one request in the usual time for which places are held. */
const PLACE_WEIGHT = 0.05;

/** Limits of admission. */
export interface AdmissionLimits {
  /** Connections that the backend server accepts. */
  connections: number;
  /** Requests that may wait. */
  queueLimit: number;
  /** Longest wait in milliseconds. */
  queueWaitMs: number;
}

/** A request that asks to run. */
export interface Applicant extends Timing {
  tenant: string;
  /** Rank of the request; 0 goes first. */
  rank: number;
  /** Whether it must run with nothing beside it. */
  alone: boolean;
  /** Cancelled when nobody waits for the request any more. */
  signal: Cancellation;
}

/** A place at the backend server; it must be released once. */
export interface Place {
  /** Gives the place back. */
  release(): void;
}

/** Whether a request may run. */
export type Verdict =
  | { kind: "admitted"; place: Place }
  | {
    kind: "refused";
    reason: RefusalReason;
    /** Time after which a place is likely, if that is known, in ms. */
    waitMs?: number;
  };

/** Admission at one guard. */
export interface Admission {
  /** Requests that run. */
  readonly inFlight: number;
  /** Requests that wait. */
  readonly queued: number;
  /** Time that a request will probably wait, in milliseconds. */
  expectedWaitMs(applicant: Applicant): number;
  /** Decides about a request, at once or after a short wait. */
  admit(applicant: Applicant): Promise<Verdict>;
  /** Starts waiting requests that may run by now. */
  pump(): void;
  /** Refuses everything that waits. */
  refuseWaiting(reason: RefusalReason): void;
  /** Takes new limits over. */
  setLimits(limits: AdmissionLimits): void;
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  timer: Timer;
  /** The warm-up that is in force. */
  warmup: () => Warmup;
  /** Time for which work had better wait for a faster server, in ms. */
  holdMs?: (usualMs: number) => number;
  limits: AdmissionLimits;
}

/** Creates admission with nothing running. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { timer, warmup, holdMs = () => 0 } = options;
  let { limits } = options;
  const queue = createFairQueue();
  const lonely: Waiting[] = [];
  const running = new Map<string, number>();
  let inFlight = 0;
  let placeMs = 0;
  let aloneRunning = false;
  let pausePump: Subscription | undefined;

  function allowed(): number {
    return Math.min(warmup().allowed, limits.connections);
  }

  function runningOf(tenant: string): number {
    return running.get(tenant) ?? 0;
  }

  function hasRoom(): boolean {
    return !aloneRunning && lonely.length === 0 && inFlight < allowed() &&
      warmup().pauseMs === 0;
  }

  function notePlace(heldMs: number): void {
    placeMs += (placeMs === 0 ? 1 : PLACE_WEIGHT) * (heldMs - placeMs);
  }

  function occupy(applicant: Applicant): Place {
    const { tenant, alone } = applicant;
    inFlight++;
    warmup().started();
    aloneRunning = alone;
    running.set(tenant, runningOf(tenant) + 1);
    const startedAt = timer.now();
    let released = false;
    return {
      release() {
        if (released) {
          return;
        }
        released = true;
        inFlight--;
        notePlace(timer.now() - startedAt);
        if (alone) {
          aloneRunning = false;
        }
        const left = runningOf(tenant) - 1;
        if (left > 0) {
          running.set(tenant, left);
        } else {
          running.delete(tenant);
        }
        pump();
      },
    };
  }

  function pump(): void {
    if (lonely.length > 0 && inFlight === 0) {
      lonely.shift()!.start();
      return;
    }
    while (queue.size > 0 && hasRoom()) {
      const next = queue.take(runningOf);
      if (!next) {
        break;
      }
      next.start();
    }
    pumpAfterPause();
  }

  /** A cold server's pause ends without any event of its own. */
  function pumpAfterPause(): void {
    const { pauseMs } = warmup();
    if (queue.size > 0 && pauseMs > 0 && !pausePump) {
      pausePump = timer.after(Math.ceil(pauseMs), () => {
        pausePump = undefined;
        pump();
      });
    }
  }

  /** How a request stands in the queue, apart from what it waits for. */
  function standingOf(applicant: Applicant): Standing {
    const { tenant, rank, deadlineAt, usualMs = 0 } = applicant;
    return {
      tenant,
      rank,
      deadlineAt,
      usualMs,
      inTime: () => inTimeLeftMs(applicant, timer.now()) >= 0,
      fits: () => holdMs(usualMs) === 0,
    };
  }

  function waitOf(applicant: Applicant): number {
    const { usualMs = 0 } = applicant;
    const standing = standingOf(applicant);
    return expectedWaitMs({
      ahead: queue.countBefore(standing, runningOf) + lonely.length,
      inFlight,
      allowed: allowed(),
      placeMs,
      holdMs: holdMs(usualMs),
      pauseMs: warmup().pauseMs,
      overtakenFactor: standing.inTime()
        ? OVERTAKEN_FACTOR
        : LATE_OVERTAKEN_FACTOR,
    });
  }

  /** Whether a request may begin at once. */
  function isFreeFor(applicant: Applicant): boolean {
    const { alone, usualMs = 0 } = applicant;
    if (alone) {
      return inFlight === 0 && lonely.length === 0;
    }
    if (!hasRoom() || holdMs(usualMs) > 0) {
      return false;
    }
    return queue.size === 0 ||
      queue.countBefore(standingOf(applicant), runningOf) === 0;
  }

  /** Longest time that a request is let wait. */
  function longestWaitOf(applicant: Applicant): number {
    const own = longestWaitMs(applicant, timer.now());
    return Math.min(limits.queueWaitMs, own);
  }

  function reasonForFull(): RefusalReason {
    if (inFlight >= limits.connections) {
      return "no_connection";
    }
    return warmup().cold ? "cold" : "overloaded";
  }

  function wait(applicant: Applicant): Promise<Verdict> {
    return new Promise((resolve) => {
      const { alone, signal } = applicant;
      const timeout = timer.after(longestWaitOf(applicant), () => {
        remove();
        waiting.refuse();
      });
      function remove(): void {
        queue.remove(waiting);
        const index = lonely.indexOf(waiting);
        if (index >= 0) {
          lonely.splice(index, 1);
          pump();
        }
      }
      function abandon(): void {
        remove();
        finish({ kind: "refused", reason: "cancelled" });
      }
      function finish(verdict: Verdict): void {
        timeout.cancel();
        release();
        resolve(verdict);
      }
      const waiting: Waiting = {
        ...standingOf(applicant),
        start: () => finish({ kind: "admitted", place: occupy(applicant) }),
        refuse: () =>
          finish({
            kind: "refused",
            reason: refusalReason,
            waitMs: waitOf(applicant),
          }),
      };
      let release = (): void => {};
      let refusalReason: RefusalReason = reasonForFull();
      refusers.set(waiting, (reason) => {
        refusalReason = reason;
      });
      release = signal.onCancel(abandon);
      if (alone) {
        lonely.push(waiting);
        pump();
      } else if (!queue.add(waiting, limits.queueLimit)) {
        waiting.refuse();
      }
      pumpAfterPause();
    });
  }
  const refusers = new WeakMap<Waiting, (reason: RefusalReason) => void>();

  return {
    get inFlight() {
      return inFlight;
    },
    get queued() {
      return queue.size + lonely.length;
    },
    admit(applicant) {
      if (applicant.signal.cancelled) {
        return Promise.resolve({ kind: "refused", reason: "cancelled" });
      }
      if (!canEnd(applicant, timer.now())) {
        return Promise.resolve({ kind: "refused", reason: "no_time" });
      }
      if (isFreeFor(applicant)) {
        const place = occupy(applicant);
        return Promise.resolve({ kind: "admitted", place });
      }
      const waitMs = waitOf(applicant);
      if (!applicant.alone && waitMs > longestWaitOf(applicant)) {
        // It would only wait in vain.
        const reason = reasonForFull();
        return Promise.resolve({ kind: "refused", reason, waitMs });
      }
      return wait(applicant);
    },
    expectedWaitMs: waitOf,
    pump,
    refuseWaiting(reason) {
      for (const waiting of [...queue.drain(), ...lonely.splice(0)]) {
        refusers.get(waiting)?.(reason);
        waiting.refuse();
      }
    },
    setLimits(next) {
      limits = next;
      pump();
    },
  };
}
