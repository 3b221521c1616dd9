/**
 * Replays loads on fake time against the admission of guards and the throttles
 * of ingresses, without a network, and reports who is served. Tests use it, and
 * bench/overload.ts prints its figures.
 * @module
 */
import { createCanceller } from "../core/cancellation.ts";
import { createSeededRandom } from "../core/random.ts";
import { type Admission, createAdmission } from "../guard/admission.ts";
import { createColdRate } from "../guard/cold_rate.ts";
import {
  createThrottle,
  type Throttle,
  type ThrottleOptions,
} from "../ingress/throttle.ts";
import { placeOf } from "./order.ts";
import { createFakeTimer } from "../time/fake_timer.ts";
import { retryAfterMs } from "./retry_after.ts";

/** A class of requests. */
export interface ReplayClass {
  name: string;
  perS: number;
  workMs: number;
  objectiveMs: number;
  deadlineMs: number;
  rank: number;
  repeatable: boolean;
  /** Share of its requests that call the service again while they run. */
  callShare?: number;
}

/** A throttle that may also learn from what guards state in their answers. */
export interface ReplayThrottle
  extends Pick<Throttle, "refusalWaitMs" | "record"> {
  /**
   * Called with the most urgent place that a guard has refused lately; infinite
   * if it has refused none.
   */
  learnCutOff?(guard: number, place: number): void;
}

/** The load of a replay. Its disturbances last from `fromS` to `toS`. */
export interface ReplayLoad {
  seed: number;
  classes?: readonly ReplayClass[];
  workspaces?: number;
  /** Returns the rank of a workspace. */
  workspaceRank?: (workspace: number) => number;
  fromS?: number;
  toS?: number;
  /** Factor on the load of the workspace `hot`. */
  hotFactor?: number;
  /** Factor on the load of one class. */
  burst?: { name: string; factor: number };
  /** Factor on the whole load. */
  loadFactor?: number;
  /** Share of the answers that are lost, which hold a slot until the deadline. */
  lostShare?: number;
  /** Share of the callers that retry at once, and three times as often. */
  hastyShare?: number;
  /** Whether there are no workspaces, and no ranks of routes. */
  plain?: boolean;
  /** Retries of callers that wait as they are told. */
  retries?: number;
  /** Creates the throttle of an ingress. */
  createThrottle?: (options: ThrottleOptions) => ReplayThrottle;
  /** Share of the callers that leave once their objective has passed. */
  leavingShare?: number;
}

/** How the requests of one class or workspace ended. */
export interface Served {
  asked: number;
  served: number;
  inTime: number;
}

/** Result of a replay: the requests that arrived during the disturbance. */
export interface ReplayResult {
  classes: Map<string, Served>;
  /** By rank of the workspace, then by rank of the route; most urgent first. */
  byRank: { ranks: string; served: Served }[];
  /** Calls that servers make for the requests that they run. */
  calls: Served;
  /** Share served of the tenth of the workspaces that is served worst. */
  worstTenth: number;
  /** Share served of the workspace that sends the most during a disturbance. */
  hot: number;
  all: Served;
  /** Attempts that guards received for each request that was served. */
  attemptsPerServed: number;
  /** Requests refused by the throttle. */
  throttled: number;
  /** Attempts that waited for over an eighth of their objective in vain. */
  heldInVain: number;
  /** Longest and average wait of a request that ran, in ms. */
  maxWaitMs: number;
  meanWaitMs: number;
}

/** The classes of a deployment with large workspaces, at 1/1.45 of its rate. */
export const CLASSES: readonly ReplayClass[] = [
  {
    name: "lookup",
    perS: 193,
    workMs: 229,
    objectiveMs: 837,
    deadlineMs: 6_300,
    rank: 1,
    repeatable: true,
    callShare: 0.1,
  },
  {
    name: "notice",
    perS: 75,
    workMs: 305,
    objectiveMs: 836,
    deadlineMs: 6_300,
    rank: 1,
    repeatable: false,
  },
  {
    name: "download",
    perS: 30,
    workMs: 190,
    objectiveMs: 1_600,
    deadlineMs: 6_400,
    rank: 2,
    repeatable: true,
  },
  {
    name: "claim",
    perS: 22,
    workMs: 190,
    objectiveMs: 533,
    deadlineMs: 5_300,
    rank: 0,
    repeatable: false,
  },
];

/** The classes of a deployment without workspaces and ranks, at 2/3 of its rate. */
export const PLAIN_CLASSES: readonly ReplayClass[] = [
  {
    name: "lookup",
    perS: 190,
    workMs: 190,
    objectiveMs: 855,
    deadlineMs: 2_100,
    rank: 0,
    repeatable: true,
    callShare: 0.1,
  },
  {
    name: "request",
    perS: 80,
    workMs: 248,
    objectiveMs: 858,
    deadlineMs: 2_700,
    rank: 0,
    repeatable: false,
  },
  {
    name: "upload",
    perS: 21,
    workMs: 238,
    objectiveMs: 1_400,
    deadlineMs: 3_400,
    rank: 0,
    repeatable: false,
  },
];

/** A call that a server makes for a request that it runs. */
const CALL: ReplayClass = {
  name: "call",
  perS: 0,
  workMs: 58,
  objectiveMs: 234,
  deadlineMs: 934,
  rank: 1,
  repeatable: true,
};

/** Loads for which requests are ordered, by name. */
export const LOADS: Record<string, Omit<ReplayLoad, "seed">> = {
  "calm": {},
  "one hot workspace": { hotFactor: 6.1 },
  "a burst of one class": { burst: { name: "lookup", factor: 2.4 } },
  "both, with lost answers": {
    hotFactor: 6.1,
    burst: { name: "lookup", factor: 2.4 },
    lostShare: 0.01,
  },
  "hasty callers": { loadFactor: 1.4, hastyShare: 0.3 },
  "callers that leave early": { loadFactor: 1.4, leavingShare: 0.3 },
};

const SERVICE = "service";
const GUARDS = 12;
const SLOTS = 8;
const INGRESSES = 50;
const WORKSPACES = 85;
/** Index of the workspace whose load rises. */
const HOT = 1;
const RUN_S = 14;
const FROM_S = 4;
const TO_S = 10.5;
const TAIL_S = 8;
const MS_PER_S = 1_000;
const MAX_RETRIES = 2;
const HASTY_RETRIES = 6;
const HASTY_DELAY_MS = 20;
/** Time for which a guard states a place that it has refused. */
const CUT_OFF_MAX_AGE_MS = 300;
const LONG_WAIT_MS = 30;
const UNKNOWN_WAIT_MS = 400;
const MAX_GUARDS_ASKED = 2;
/** Requests of a workspace from which its share counts. */
const MIN_ASKED = 8;

interface Caller {
  kind: ReplayClass;
  workspace: number;
  deadlineAt: number;
  objectiveAt: number;
  hasty: boolean;
  leaves: boolean;
  counted: boolean;
}

type TryEnd = { kind: "served" } | { kind: "lost" } | {
  kind: "refused";
  waitMs: number;
};

function createServed(): Served {
  return { asked: 0, served: 0, inTime: 0 };
}

/** Returns which share of the requests was served. */
export function shareOf({ asked, served }: Served): number {
  return asked === 0 ? 1 : served / asked;
}

/** Replays a load, and returns who was served. */
export async function replay(load: ReplayLoad): Promise<ReplayResult> {
  const { classes = CLASSES, workspaces = WORKSPACES } = load;
  const { fromS = FROM_S, toS = TO_S, loadFactor = 1 } = load;
  const { workspaceRank = () => 0 } = load;
  const timer = createFakeTimer();
  const random = createSeededRandom(load.seed);
  const guards = Array.from({ length: GUARDS }, createGuardAdmission);
  const throttles: ReplayThrottle[] = Array.from(
    { length: INGRESSES },
    () =>
      (load.createThrottle ?? createThrottle)({
        timer,
        randomFraction: random.fraction,
      }),
  );
  /** Most urgent place that each guard has refused, and when. */
  const cutOffs = guards.map(() => ({ place: Infinity, at: -Infinity }));

  /** Returns the cut-off that a guard would state in an answer. */
  function cutOffOf(guard: number): number {
    const { place, at } = cutOffs[guard];
    return timer.now() - at < CUT_OFF_MAX_AGE_MS ? place : Infinity;
  }

  function noteRefusal(guard: number, place: number): void {
    if (place <= cutOffOf(guard)) {
      cutOffs[guard] = { place, at: timer.now() };
    }
  }
  const byClass = new Map<string, Served>();
  const byRank = new Map<string, Served>();
  const byWorkspace = new Map<number, Served>();
  const all = createServed();
  const calls = createServed();
  const totals = { attempts: 0, throttled: 0, heldInVain: 0, served: 0 };
  const waits = { max: 0, sum: 0, count: 0 };
  /** Sums of the workspaces' weights; a few of them are large. */
  const weights: number[] = [];

  function createGuardAdmission(): Admission {
    const rate = createColdRate(
      timer,
      () => ({ perSecond: MS_PER_S, coldMs: 0, slots: SLOTS }),
    );
    rate.noteCold(0);
    return createAdmission({
      timer,
      warmup: () => rate,
      limits: { connections: 50, queueLimit: 24, queueWaitMs: 2_000 },
    });
  }

  function isDisturbed(): boolean {
    return timer.now() >= fromS * MS_PER_S && timer.now() < toS * MS_PER_S;
  }

  function pickGuards(): number[] {
    const offset = random.integer(GUARDS);
    const other = (offset + 1 + random.integer(GUARDS - 1)) % GUARDS;
    const loadOf = (one: number) => guards[one].inFlight + guards[one].queued;
    return [offset, other].sort((left, right) => loadOf(left) - loadOf(right));
  }

  /** Runs a request at a server; resolves when its slot is free again. */
  async function runAt(caller: Caller, parent: boolean): Promise<TryEnd> {
    const { kind } = caller;
    const workMs = kind.workMs * (0.7 + 0.6 * random.fraction());
    if (isDisturbed() && random.fraction() < (load.lostShare ?? 0)) {
      await delay(Math.max(0, caller.deadlineAt - timer.now()));
      return { kind: "lost" };
    }
    await delay(workMs);
    if (!parent && random.fraction() < (kind.callShare ?? 0)) {
      const called = await call();
      if (called.kind !== "served") {
        return { kind: "lost" };
      }
    }
    return { kind: "served" };
  }

  /** Makes a call for a running request. */
  async function call(): Promise<TryEnd> {
    const caller: Caller = {
      kind: CALL,
      workspace: -1,
      deadlineAt: timer.now() + CALL.deadlineMs,
      objectiveAt: timer.now() + CALL.objectiveMs,
      hasty: false,
      leaves: false,
      counted: isDisturbed(),
    };
    const end = await ask(caller, 1);
    if (caller.counted) {
      calls.asked++;
      calls.served += end.kind === "served" ? 1 : 0;
    }
    return end;
  }

  function delay(ms: number): Promise<void> {
    return new Promise((resolve) => timer.after(ms, resolve));
  }

  async function tryOnce(caller: Caller, returning: boolean): Promise<TryEnd> {
    const { kind, workspace, deadlineAt, objectiveAt } = caller;
    const isCall = kind === CALL;
    // Without workspaces, calls can't be told from other requests.
    const forRunning = isCall && !load.plain;
    const hasWorkspace = !isCall && !load.plain;
    const throttle = throttles[random.integer(INGRESSES)];
    const demand = {
      workspace: hasWorkspace ? `w${workspace}` : "default",
      workspaceRank: hasWorkspace ? workspaceRank(workspace) : 0,
      rank: load.plain ? 0 : kind.rank,
      usualMs: kind.workMs,
      forRunning,
      returning,
    };
    const isLate = objectiveAt < timer.now();
    const request = { ...demand, service: SERVICE, class: kind.name, isLate };
    const throttledMs = throttle.refusalWaitMs(request);
    if (throttledMs !== undefined) {
      totals.throttled += caller.counted ? 1 : 0;
      return { kind: "refused", waitMs: throttledMs };
    }
    let waitMs = 0;
    for (const guard of pickGuards().slice(0, MAX_GUARDS_ASKED)) {
      const signal = createCanceller();
      totals.attempts += caller.counted ? 1 : 0;
      const askedAt = timer.now();
      const leaving = caller.leaves
        ? timer.after(Math.max(0, objectiveAt - askedAt), signal.cancel)
        : undefined;
      const result = await guards[guard].admit({
        ...demand,
        deadlineAt,
        objectiveAt,
        exclusive: false,
        signal,
      });
      leaving?.cancel();
      const waitedMs = timer.now() - askedAt;
      const isRefused = result.kind === "refused" && !signal.cancelled;
      if (isRefused) {
        noteRefusal(
          guard,
          placeOf(demand, { meetsObjective: !isLate, excess: 0 }),
        );
      }
      throttle.learnCutOff?.(guard, cutOffOf(guard));
      if (result.kind === "admitted") {
        waits.max = Math.max(waits.max, waitedMs);
        waits.sum += waitedMs;
        waits.count++;
        const end = await runAt(caller, isCall);
        result.slot.release();
        throttle.record(request, "accepted");
        return end;
      }
      if (
        caller.counted && waitedMs > kind.objectiveMs / 8 && !signal.cancelled
      ) {
        totals.heldInVain++;
      }
      waitMs = result.waitMs ?? UNKNOWN_WAIT_MS;
      if (result.reason === "no_time" || signal.cancelled) {
        return { kind: "lost" };
      }
      if (waitedMs > LONG_WAIT_MS) {
        break;
      }
    }
    throttle.record(request, "refused");
    return { kind: "refused", waitMs };
  }

  /** Sends a request until it is served, or its caller gives up. */
  async function ask(caller: Caller, retries: number): Promise<TryEnd> {
    for (let count = 0;; count++) {
      const startedAt = timer.now();
      const end = await tryOnce(caller, count > 0 && !caller.hasty);
      const leftMs = caller.deadlineAt - timer.now();
      const gone = caller.leaves && timer.now() >= caller.objectiveAt;
      if (end.kind !== "refused" || count >= retries || leftMs <= 0 || gone) {
        return end.kind === "served" && (leftMs < 0 || gone)
          ? { kind: "lost" }
          : end;
      }
      const told = retryAfterMs({
        waitMs: end.waitMs,
        leftMs,
        fraction: random.fraction(),
      });
      await delay(caller.hasty ? HASTY_DELAY_MS : Math.max(50, told));
      if (startedAt === timer.now()) {
        return end;
      }
    }
  }

  function servedOf<K>(counts: Map<K, Served>, key: K): Served {
    const served = counts.get(key) ?? createServed();
    counts.set(key, served);
    return served;
  }

  async function arrive(kind: ReplayClass, workspace: number): Promise<void> {
    const now = timer.now();
    const disturbed = isDisturbed();
    const caller: Caller = {
      kind,
      workspace,
      deadlineAt: now + kind.deadlineMs,
      objectiveAt: now + kind.objectiveMs,
      hasty: disturbed && random.fraction() < (load.hastyShare ?? 0),
      leaves: disturbed && random.fraction() < (load.leavingShare ?? 0),
      counted: disturbed,
    };
    const retries = caller.hasty ? HASTY_RETRIES : load.retries ?? MAX_RETRIES;
    const end = await ask(caller, retries);
    if (!caller.counted || caller.leaves) {
      return;
    }
    const inTime = end.kind === "served" && timer.now() <= caller.objectiveAt;
    const counted = [servedOf(byClass, kind.name), all];
    counted.push(servedOf(byWorkspace, workspace));
    counted.push(servedOf(byRank, `${workspaceRank(workspace)}.${kind.rank}`));
    for (const one of counted) {
      one.asked++;
      one.served += end.kind === "served" ? 1 : 0;
      one.inTime += inTime ? 1 : 0;
    }
    totals.served += end.kind === "served" ? 1 : 0;
  }

  function pickWorkspace(): number {
    const at = random.fraction() * weights[weights.length - 1];
    return weights.findIndex((sum) => at < sum);
  }

  function setWeights(hotFactor: number): void {
    let sum = 0;
    for (let index = 0; index < workspaces; index++) {
      sum += (index === HOT ? hotFactor : 1) / (index + 3);
      weights[index] = sum;
    }
  }

  /** Starts the arrivals of a class, one after the other. */
  function schedule(kind: ReplayClass): void {
    const usualSum = weights[weights.length - 1];
    function next(): void {
      const disturbed = isDisturbed();
      setWeights(disturbed ? load.hotFactor ?? 1 : 1);
      const { burst } = load;
      const factor = disturbed
        ? loadFactor * (burst?.name === kind.name ? burst.factor : 1) *
          weights[weights.length - 1] / usualSum
        : 1;
      const gapMs = -Math.log(1 - random.fraction()) * MS_PER_S /
        (kind.perS * factor);
      timer.after(gapMs, () => {
        if (timer.now() < RUN_S * MS_PER_S) {
          next();
          void arrive(kind, pickWorkspace());
        }
      });
    }
    next();
  }

  setWeights(1);
  classes.forEach(schedule);
  await timer.advance((RUN_S + TAIL_S) * MS_PER_S);
  const shares = [...byWorkspace].filter(([, { asked }]) => asked >= MIN_ASKED)
    .map(([, served]) => shareOf(served)).sort((left, right) => left - right);
  const worst = shares.slice(0, Math.ceil(shares.length / 10));
  return {
    classes: byClass,
    calls,
    byRank: [...byRank].sort(([one], [other]) => one < other ? -1 : 1)
      .map(([ranks, served]) => ({ ranks, served })),
    worstTenth: worst.reduce((sum, one) => sum + one, 0) / worst.length,
    hot: shareOf(byWorkspace.get(HOT) ?? createServed()),
    all,
    attemptsPerServed: totals.attempts / totals.served,
    throttled: totals.throttled,
    heldInVain: totals.heldInVain,
    maxWaitMs: waits.max,
    meanWaitMs: waits.sum / waits.count,
  };
}

/** Formats a result as one line. */
export function describe(result: ReplayResult): string {
  const shares = [...result.classes].sort().map(([name, served]) =>
    `${name} ${shareOf(served).toFixed(3)}/${
      (served.inTime / served.asked).toFixed(3)
    }`
  );
  const ranks = result.byRank.map(({ ranks, served }) =>
    `${ranks}: ${shareOf(served).toFixed(2)}`
  );
  return [
    ...shares,
    `by rank ${ranks.join(" ")}`,
    `calls ${shareOf(result.calls).toFixed(3)}`,
    `all ${shareOf(result.all).toFixed(3)}`,
    `worst tenth ${result.worstTenth.toFixed(3)}`,
    `hot ${result.hot.toFixed(3)}`,
    `attempts ${result.attemptsPerServed.toFixed(2)}`,
    `throttled ${result.throttled}`,
    `in vain ${result.heldInVain}`,
    `wait ${result.meanWaitMs.toFixed(0)}`,
  ].join(", ");
}
