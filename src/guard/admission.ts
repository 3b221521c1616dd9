/**
 * Admission control of a guard. Decides from exact counts which requests run,
 * which wait for a short time and which are refused.
 * @module
 */
import type { Cancellation } from "../core/cancellation.ts";
import type { RefusalReason } from "../network/frames.ts";
import { createOvertaking } from "../overload/overtaking.ts";
import { createUsage } from "../overload/usage.ts";
import type { Timer } from "../time/timer.ts";
import type { Subscription } from "../time/timer.ts";
import {
  canMeetDeadline,
  maxWaitMs,
  objectiveSlackMs,
  type RequestTiming,
} from "./queue_timeout.ts";
import { expectedWaitMs } from "./wait_estimate.ts";
import type { Warmup } from "./warmup.ts";
import {
  createRequestQueue,
  placeIn,
  type QueueCandidate,
  type QueuedRequest,
} from "./queue.ts";

/** Factor on the expected wait, since later requests may overtake a request. */
const OVERTAKEN_FACTOR = 1.4;
/**
 * The same factor for a request that can no longer meet its objective, since
 * the queue prefers requests that still can.
 */
const LATE_OVERTAKEN_FACTOR = 2;
/** Weight of one request in the moving average of the time a slot is held. */
const SLOT_TIME_WEIGHT = 0.05;

/** Limits of admission control. */
export interface AdmissionLimits {
  /** Number of connections that the backend server accepts. */
  connections: number;
  /** Number of requests that may wait. */
  queueLimit: number;
  /** Longest time for which a request may wait, in milliseconds. */
  queueWaitMs: number;
}

/** A request that asks for admission. */
export interface AdmissionRequest extends RequestTiming {
  workspace: string;
  /** Priority of the workspace, which goes before `rank`; 0 goes first. */
  workspaceRank?: number;
  /** Priority of the request; 0 goes first. */
  rank: number;
  /** Whether a backend server makes it for a request that it runs. */
  forRunning?: boolean;
  /** Whether its caller comes back after a refusal, as it was told. */
  returning?: boolean;
  /** Whether no other request may run at the same time. */
  exclusive: boolean;
  /** Cancelled when the sender no longer waits for the result. */
  signal: Cancellation;
}

/** One slot at the backend server, held while a request runs. */
export interface Slot {
  /** Frees the slot; further calls have no effect. */
  release(): void;
}

/** Whether a request was admitted. */
export type AdmissionResult =
  | { kind: "admitted"; slot: Slot }
  | {
    kind: "refused";
    reason: RefusalReason;
    /** Time after which a slot is probably free, in ms, if that is known. */
    waitMs?: number;
  };

/** Admission control of one guard. */
export interface Admission {
  /** Number of requests that run. */
  readonly inFlight: number;
  /** Number of requests that wait. */
  readonly queued: number;
  /** Average time for which a request holds its slot, in ms; 0 if unknown. */
  readonly slotTimeMs: number;
  /** Returns the time that a request will probably wait, in milliseconds. */
  expectedWaitMs(request: AdmissionRequest): number;
  /** Admits or refuses a request, at once or after it has waited. */
  admit(request: AdmissionRequest): Promise<AdmissionResult>;
  /** Starts the waiting requests that may run now. */
  startWaitingRequests(): void;
  /** Refuses all waiting requests. */
  refuseWaiting(reason: RefusalReason): void;
  /** Applies new limits. */
  setLimits(limits: AdmissionLimits): void;
}

/** Options of {@link createAdmission}. */
export interface AdmissionOptions {
  timer: Timer;
  /** Returns the warm-up that applies at present. */
  warmup: () => Warmup;
  /**
   * Returns for how long a request that usually takes `usualMs` should be held
   * back because the server is slow at present, in ms; 0 if it may start.
   */
  holdMs?: (usualMs: number) => number;
  limits: AdmissionLimits;
}

/** Creates admission control with no running and no waiting requests. */
export function createAdmission(options: AdmissionOptions): Admission {
  const { timer, warmup, holdMs = () => 0 } = options;
  let { limits } = options;
  const queue = createRequestQueue();
  const { hold, excessOf } = createUsage(timer);
  const overtaking = createOvertaking(timer);
  const exclusiveQueue: QueuedRequest[] = [];
  let inFlight = 0;
  let slotTimeMs = 0;
  let exclusiveRunning = false;
  let pauseTimer: Subscription | undefined;

  function allowed(): number {
    return Math.min(warmup().allowed, limits.connections);
  }

  function hasFreeSlot(): boolean {
    return !exclusiveRunning && exclusiveQueue.length === 0 &&
      inFlight < allowed() &&
      warmup().pauseMs === 0;
  }

  function recordSlotTime(durationMs: number): void {
    slotTimeMs += (slotTimeMs === 0 ? 1 : SLOT_TIME_WEIGHT) *
      (durationMs - slotTimeMs);
  }

  function acquireSlot(request: AdmissionRequest): Slot {
    const { workspace, exclusive, usualMs = 0 } = request;
    inFlight++;
    warmup().started();
    exclusiveRunning = exclusive;
    overtaking.start(placeIn(candidateOf(request), excessOf), usualMs);
    const endHold = hold(workspace, usualMs);
    const startedAt = timer.now();
    let released = false;
    return {
      release() {
        if (released) {
          return;
        }
        released = true;
        inFlight--;
        recordSlotTime(timer.now() - startedAt);
        if (exclusive) {
          exclusiveRunning = false;
        }
        endHold();
        startWaitingRequests();
      },
    };
  }

  function startWaitingRequests(): void {
    if (exclusiveQueue.length > 0 && inFlight === 0) {
      if (warmup().pauseMs === 0) {
        exclusiveQueue.shift()!.start();
      }
      startAfterPause();
      return;
    }
    while (queue.size > 0 && hasFreeSlot()) {
      const next = queue.take(excessOf);
      if (!next) {
        break;
      }
      next.start();
    }
    startAfterPause();
  }

  /**
   * Starts waiting requests at the end of the pause of a cold or limited server,
   * since no event reports that end.
   */
  function startAfterPause(): void {
    const { pauseMs } = warmup();
    const waiting = queue.size + exclusiveQueue.length;
    if (waiting > 0 && pauseMs > 0 && !pauseTimer) {
      pauseTimer = timer.after(Math.ceil(pauseMs), () => {
        pauseTimer = undefined;
        startWaitingRequests();
      });
    }
  }

  /** Returns the properties by which the queue orders a request. */
  function candidateOf(request: AdmissionRequest): QueueCandidate {
    const { workspace, workspaceRank, rank, usualMs = 0 } = request;
    const { forRunning, returning, deadlineAt } = request;
    return {
      workspace,
      workspaceRank,
      rank,
      forRunning,
      returning,
      deadlineAt,
      usualMs,
      canMeetObjective: () => objectiveSlackMs(request, timer.now()) >= 0,
      mayStart: () => holdMs(usualMs) === 0,
    };
  }

  /** Returns how much later requests lengthen the wait of a request. */
  function overtakenFactor(candidate: QueueCandidate): number {
    if (inFlight < allowed()) {
      return OVERTAKEN_FACTOR;
    }
    return Math.max(
      candidate.canMeetObjective() ? OVERTAKEN_FACTOR : LATE_OVERTAKEN_FACTOR,
      overtaking.factor(placeIn(candidate, excessOf), allowed()),
    );
  }

  function estimateWaitMs(request: AdmissionRequest): number {
    const { usualMs = 0 } = request;
    const candidate = candidateOf(request);
    return expectedWaitMs({
      ahead: queue.countAhead(candidate, excessOf) + exclusiveQueue.length,
      inFlight,
      allowed: allowed(),
      slotTimeMs,
      holdMs: holdMs(usualMs),
      pauseMs: warmup().pauseMs,
      startIntervalMs: warmup().startIntervalMs ?? 0,
      overtakenFactor: overtakenFactor(candidate),
    });
  }

  /** Whether a request may start without waiting. */
  function canStartNow(request: AdmissionRequest): boolean {
    const { exclusive, usualMs = 0 } = request;
    if (exclusive) {
      return inFlight === 0 && exclusiveQueue.length === 0 &&
        warmup().pauseMs === 0;
    }
    if (!hasFreeSlot() || holdMs(usualMs) > 0) {
      return false;
    }
    return queue.size === 0 ||
      queue.countAhead(candidateOf(request), excessOf) === 0;
  }

  /** Returns the longest time for which a request may wait, in ms. */
  function maxWaitOf(request: AdmissionRequest): number {
    const requestMaxMs = maxWaitMs(request, timer.now());
    return Math.min(limits.queueWaitMs, requestMaxMs);
  }

  /** Returns the reason of a refusal for lack of a slot. */
  function findNoSlotReason(): RefusalReason {
    if (inFlight >= limits.connections) {
      return "no_connection";
    }
    return warmup().cold ? "cold" : "overloaded";
  }

  function wait(request: AdmissionRequest): Promise<AdmissionResult> {
    return new Promise((resolve) => {
      const { exclusive, signal } = request;
      const timeout = timer.after(maxWaitOf(request), () => {
        remove();
        entry.refuse();
      });
      function remove(): void {
        queue.remove(entry);
        const index = exclusiveQueue.indexOf(entry);
        if (index >= 0) {
          exclusiveQueue.splice(index, 1);
          startWaitingRequests();
        }
      }
      function handleCancel(): void {
        remove();
        finish({ kind: "refused", reason: "cancelled" });
      }
      function finish(result: AdmissionResult): void {
        timeout.cancel();
        unsubscribe();
        resolve(result);
      }
      const entry: QueuedRequest = {
        ...candidateOf(request),
        start: () => finish({ kind: "admitted", slot: acquireSlot(request) }),
        refuse: () =>
          finish({
            kind: "refused",
            reason: refusalReason,
            waitMs: estimateWaitMs(request),
          }),
      };
      let unsubscribe = (): void => {};
      let refusalReason: RefusalReason = findNoSlotReason();
      reasonSetters.set(entry, (reason) => {
        refusalReason = reason;
      });
      unsubscribe = signal.onCancel(handleCancel);
      if (exclusive) {
        exclusiveQueue.push(entry);
        startWaitingRequests();
      } else if (!queue.add(entry, { limit: limits.queueLimit, excessOf })) {
        entry.refuse();
      }
      startAfterPause();
    });
  }
  const reasonSetters = new WeakMap<
    QueuedRequest,
    (reason: RefusalReason) => void
  >();

  return {
    get inFlight() {
      return inFlight;
    },
    get slotTimeMs() {
      return slotTimeMs;
    },
    get queued() {
      return queue.size + exclusiveQueue.length;
    },
    admit(request) {
      if (request.signal.cancelled) {
        return Promise.resolve({ kind: "refused", reason: "cancelled" });
      }
      if (!canMeetDeadline(request, timer.now())) {
        return Promise.resolve({ kind: "refused", reason: "no_time" });
      }
      if (canStartNow(request)) {
        const slot = acquireSlot(request);
        return Promise.resolve({ kind: "admitted", slot });
      }
      const waitMs = estimateWaitMs(request);
      if (!request.exclusive && waitMs > maxWaitOf(request)) {
        // The request would time out in the queue, so it is refused at once.
        const reason = findNoSlotReason();
        return Promise.resolve({ kind: "refused", reason, waitMs });
      }
      return wait(request);
    },
    expectedWaitMs: estimateWaitMs,
    startWaitingRequests,
    refuseWaiting(reason) {
      for (const entry of [...queue.drain(), ...exclusiveQueue.splice(0)]) {
        reasonSetters.get(entry)?.(reason);
        entry.refuse();
      }
    },
    setLimits(next) {
      limits = next;
      startWaitingRequests();
    },
  };
}
