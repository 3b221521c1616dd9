/**
 * Compares the policies that choose a backend server, on simulated time:
 * latency, refusals and extra attempts. The policy "all-knowing" is an oracle
 * that reads each server's actual state without delay; the others are compared
 * with it.
 *
 * `node dist/bench/policies.js [seconds] [seeds] [part of a condition's name]`
 * @module
 */
import { type Candidate, createPolicy } from "../src/choosing/mod.ts";
import { createSeededRandom, type Random } from "../src/core/random.ts";
import { createHints } from "../src/ingress/hints.ts";
import type { Member } from "../src/control/commands.ts";

const SECONDS = Number(process.argv[2] ?? 20);
const SEEDS = Number(process.argv[3] ?? 3);
const CONDITION_FILTER = process.argv[4] ?? "";
const SERVERS = 6;
const SLOTS = 12;
const INGRESSES = 10;
const MEAN_MS = 5;
const HOP_MS = 1;
const QUEUE_LIMIT = 16;
const QUEUE_WAIT_MS = 50;
const MAX_ATTEMPTS = 4;
const WARM_UP_MS = 2_000;
const STALE_AFTER_MS = 200;
const HEDGE_SHARE = 0.05;
const HEDGE_MEDIAN_FACTOR = 3;

/** A load and the faults that are simulated with it. */
interface Condition {
  name: string;
  /** Rate of calls as a share of what all servers together can run. */
  utilization: number;
  /** Factor by which a request at a server takes longer at a given time. */
  slowness: (server: number, atMs: number, random: Random) => number;
  /** Server that answers each request at once with an error. */
  failing?: number;
  /** Delay of the load reports that come with answers, in milliseconds. */
  extraAgeMs?: number;
}

const CONDITIONS: Condition[] = [
  { name: "calm", utilization: 0.5, slowness: () => 1 },
  {
    name: "straggler 10x",
    utilization: 0.5,
    slowness: (server) => server === 2 ? 10 : 1,
  },
  {
    name: "noisy bursts",
    utilization: 0.5,
    slowness: (server, at) =>
      (Math.floor(at / 40) * 7 + server * 13) % 11 === 0 ? 8 : 1,
  },
  {
    name: "stale reports",
    utilization: 0.5,
    slowness: () => 1,
    extraAgeMs: 500,
  },
  { name: "fail-fast", utilization: 0.5, slowness: () => 1, failing: 2 },
  {
    name: "cold restart",
    utilization: 0.5,
    slowness: (server, at) => server === 2 && at % 10_000 < 3_000 ? 4 : 1,
  },
  { name: "90% load", utilization: 0.9, slowness: () => 1 },
  { name: "2x overload", utilization: 2, slowness: () => 1 },
];

interface Server {
  /** Occupied slots. */
  busy: number;
  /** Queue of requests, each with the time until which it may start. */
  waiting: { start: () => void; until: number }[];
  started: number;
}

interface Result {
  /** Latencies of successful calls, in milliseconds. */
  latencies: number[];
  refused: number;
  failed: number;
  calls: number;
  /** Hedges, and retries after errors. */
  extra: number;
}

interface Event {
  at: number;
  run: () => void;
}

/** Creates a queue of events on simulated time, as a binary heap. */
function createEventQueue() {
  const heap: Event[] = [];
  let now = 0;
  return {
    now: () => now,
    after(delay: number, run: () => void): void {
      const event = { at: now + delay, run };
      let index = heap.push(event) - 1;
      while (index > 0) {
        const parent = (index - 1) >> 1;
        if (heap[parent].at <= event.at) {
          break;
        }
        heap[index] = heap[parent];
        index = parent;
      }
      heap[index] = event;
    },
    run(end: number): void {
      while (heap.length > 0 && heap[0].at < end) {
        const first = heap[0];
        const last = heap.pop()!;
        if (heap.length > 0) {
          let index = 0;
          while (true) {
            let child = 2 * index + 1;
            if (child >= heap.length) {
              break;
            }
            if (
              child + 1 < heap.length && heap[child + 1].at < heap[child].at
            ) {
              child++;
            }
            if (heap[child].at >= last.at) {
              break;
            }
            heap[index] = heap[child];
            index = child;
          }
          heap[index] = last;
        }
        now = first.at;
        first.run();
      }
    },
  };
}

function createMember(index: number): Member {
  return {
    server: `vm${index}`,
    service: "s",
    domain: `d${index % 3}`,
    region: "r",
    address: "",
    incarnation: "",
    boot: "",
    slots: SLOTS,
    leaving: false,
  };
}

/** Simulates one condition with one policy. */
function simulate(
  policyName: string,
  condition: Condition,
  seed: number,
): Result {
  const random = createSeededRandom(seed);
  const events = createEventQueue();
  const timer = {
    now: events.now,
    wallTime: events.now,
    after: () => ({ cancel: () => {} }),
    every: () => ({ cancel: () => {} }),
  };
  const servers: Server[] = Array.from({ length: SERVERS }, () => ({
    busy: 0,
    waiting: [],
    started: 0,
  }));
  const members = servers.map((_, index) => createMember(index));
  const oracle = policyName === "all-knowing";
  const ingresses = Array.from({ length: INGRESSES }, (_, index) => ({
    hints: createHints(timer),
    policy: oracle
      ? undefined
      : createPolicy(policyName, { staleAfterMs: () => STALE_AFTER_MS }),
    domain: `d${index % 3}`,
    hedgeTokens: 5,
  }));
  const result: Result = {
    latencies: [],
    refused: 0,
    failed: 0,
    calls: 0,
    extra: 0,
  };
  // Times at which each server's requests finish.
  const finishAt = servers.map(() => [] as number[]);

  function currentSlowness(index: number): number {
    return condition.slowness(index, events.now(), random);
  }

  function sampleServiceMs(index: number): number {
    const variation = 0.5 - 0.5 * Math.log(1 - random.fraction());
    return MEAN_MS * variation * currentSlowness(index);
  }

  function actualWaitMs(index: number): number {
    const server = servers[index];
    if (condition.failing === index) {
      return 1e9;
    }
    const queueing = server.busy >= SLOTS
      ? (server.waiting.length + 1) * MEAN_MS * currentSlowness(index) / SLOTS
      : 0;
    return MEAN_MS * currentSlowness(index) + queueing + server.busy * 1e-3;
  }

  function release(index: number): void {
    const server = servers[index];
    server.busy--;
    while (server.waiting.length > 0) {
      const next = server.waiting.shift()!;
      if (next.until >= events.now()) {
        next.start();
        return;
      }
    }
  }

  function run(index: number, done: (ok: boolean) => void): void {
    const server = servers[index];
    server.busy++;
    server.started++;
    const time = sampleServiceMs(index);
    finishAt[index].push(events.now() + time);
    events.after(time, () => {
      release(index);
      done(true);
    });
  }

  /**
   * Submits a request to a server's guard, which runs, queues or refuses it.
   */
  function submit(
    index: number,
    onEnd: (kind: "answer" | "refused" | "error") => void,
  ): void {
    if (condition.failing === index) {
      servers[index].started++;
      events.after(0.2, () => onEnd("error"));
      return;
    }
    const server = servers[index];
    if (server.busy < SLOTS) {
      run(index, () => onEnd("answer"));
      return;
    }
    if (server.waiting.length >= QUEUE_LIMIT) {
      onEnd("refused");
      return;
    }
    const entry = {
      until: events.now() + QUEUE_WAIT_MS,
      start: () => run(index, () => onEnd("answer")),
    };
    server.waiting.push(entry);
    events.after(QUEUE_WAIT_MS, () => {
      const at = server.waiting.indexOf(entry);
      if (at >= 0) {
        server.waiting.splice(at, 1);
        onEnd("refused");
      }
    });
  }

  function chooseServer(ingressIndex: number, tried: Set<number>): number {
    const untriedIndexes = members.map((_, index) => index)
      .filter((index) => !tried.has(index));
    if (untriedIndexes.length === 0) {
      return -1;
    }
    const ingress = ingresses[ingressIndex];
    if (!ingress.policy) {
      return untriedIndexes.reduce((best, index) =>
        actualWaitMs(index) < actualWaitMs(best) ? index : best
      );
    }
    const candidates: Candidate[] = untriedIndexes.map((index) =>
      ingress.hints.candidate(members[index], ingress.domain)
    );
    const chosen = ingress.policy.choose(candidates, random);
    return untriedIndexes[candidates.indexOf(chosen)];
  }

  function reportLoad(index: number) {
    const { busy, waiting } = servers[index];
    return {
      inFlight: busy,
      allowed: SLOTS,
      queued: waiting.length,
      version: 1,
      slowness: 1,
      incarnation: "",
    };
  }

  function call(): void {
    const startedAt = events.now();
    const measured = startedAt > WARM_UP_MS;
    const ingressIndex = random.integer(INGRESSES);
    const ingress = ingresses[ingressIndex];
    const tried = new Set<number>();
    let attempts = 0;
    let ended = false;
    if (measured) {
      result.calls++;
    }
    ingress.hedgeTokens = Math.min(10, ingress.hedgeTokens + HEDGE_SHARE);

    function finish(kind: "answer" | "refused" | "error"): void {
      if (ended) {
        return;
      }
      ended = true;
      if (!measured) {
        return;
      }
      if (kind === "answer") {
        result.latencies.push(events.now() - startedAt);
      } else if (kind === "refused") {
        result.refused++;
      } else {
        result.failed++;
      }
    }

    function attempt(hedge: boolean): void {
      const index = chooseServer(ingressIndex, tried);
      if (index < 0 || attempts >= MAX_ATTEMPTS) {
        if (!hedge) {
          finish("refused");
        }
        return;
      }
      tried.add(index);
      attempts++;
      const sentAt = events.now();
      const recordEnd = ingress.hints.startAttempt(members[index].server);
      let returned = false;
      events.after(HOP_MS, () =>
        submit(index, (kind) => {
          const load = reportLoad(index);
          events.after(HOP_MS, () => {
            returned = true;
            const latencyMs = events.now() - sentAt;
            recordEnd(
              kind === "refused"
                ? undefined
                : { latencyMs, ok: kind === "answer" },
            );
            const age = condition.extraAgeMs ?? 0;
            events.after(age, () =>
              ingress.hints.recordLoad(members[index].server, load));
            if (kind === "answer") {
              finish("answer");
            } else if (!ended && !hedge) {
              result.extra += kind === "error" ? 1 : 0;
              attempt(false);
            }
          });
        }));
      if (policyName === "ours" || policyName === "expected_wait") {
        events.after(getHedgeDelayMs(), () => {
          if (!returned && !ended && !hedge && ingress.hedgeTokens >= 1) {
            ingress.hedgeTokens--;
            result.extra++;
            attempt(true);
          }
        });
      }
    }
    attempt(false);
  }

  /** Delay of a hedge, from latency quantiles of recent answers. */
  function getHedgeDelayMs(): number {
    return hedgeDelayMs;
  }
  let hedgeDelayMs = 30;
  let refreshedAtCount = 0;
  function refreshHedgeDelay(): void {
    const recent = result.latencies.slice(-2_000);
    if (result.latencies.length - refreshedAtCount >= 500) {
      refreshedAtCount = result.latencies.length;
      recent.sort((first, second) => first - second);
      hedgeDelayMs = Math.min(
        recent[Math.floor(recent.length * 0.99)],
        recent[Math.floor(recent.length * 0.5)] * HEDGE_MEDIAN_FACTOR,
      );
    }
    events.after(100, refreshHedgeDelay);
  }
  refreshHedgeDelay();

  const capacity = SERVERS * SLOTS / MEAN_MS;
  const rate = capacity * condition.utilization;
  function generateCalls(): void {
    call();
    events.after(-Math.log(1 - random.fraction()) / rate, generateCalls);
  }
  generateCalls();
  events.run(SECONDS * 1_000);
  return result;
}

function quantile(values: number[], share: number): number {
  return values[
    Math.min(values.length - 1, Math.floor(values.length * share))
  ] ??
    NaN;
}

function formatSpread(values: number[]): string {
  const sorted = [...values].sort((first, second) => first - second);
  const median = sorted[Math.floor(sorted.length / 2)];
  return `${median.toFixed(1)} (${sorted[0].toFixed(1)}-${
    sorted.at(-1)!.toFixed(1)
  })`;
}

const POLICIES = [
  "random",
  "round_robin",
  "least_own",
  "two_choices",
  "expected_wait",
  "all-knowing",
];

process.stdout.write(
  `${SERVERS} servers, ${SLOTS} slots, mean ${MEAN_MS} ms, ${INGRESSES} ` +
    `ingresses, ${SECONDS} s, ${SEEDS} seeds; median (least-most), ms\n\n` +
    "| condition | policy | p50 | p99 | p99.9 | refused % | failed % | extra % | goodput % |\n" +
    "|---|---|---|---|---|---|---|---|---|\n",
);
for (
  const condition of CONDITIONS.filter((one) =>
    one.name.includes(CONDITION_FILTER)
  )
) {
  for (const policy of POLICIES) {
    const runs = Array.from({ length: SEEDS }, (_, seed) => {
      const one = simulate(policy, condition, seed + 1);
      one.latencies.sort((a, b) => a - b);
      return one;
    });
    const share = (of: (one: Result) => number): string =>
      formatSpread(runs.map((one) => 100 * of(one) / one.calls));
    process.stdout.write(
      `| ${condition.name} | ${policy} | ` +
        [0.5, 0.99, 0.999].map((q) =>
          formatSpread(runs.map((one) => quantile(one.latencies, q)))
        ).join(" | ") +
        ` | ${share((one) => one.refused)} | ${share((one) => one.failed)} | ` +
        `${share((one) => one.extra)} | ${
          share((one) => one.latencies.length)
        } |\n`,
    );
  }
}
