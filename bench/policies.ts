/**
 * Choosing policies side by side, on simulated time: latency, refusals and
 * repeated work, against a bound that knows every server's true state.
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
const ONLY = process.argv[4] ?? "";
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

/** A load and the faults in it. */
interface Condition {
  name: string;
  utilization: number;
  /** Multiple of a server's usual time at a moment. */
  slowness: (server: number, atMs: number, random: Random) => number;
  /** Server that fails at once. */
  failing?: number;
  /** Age of what answers say of the load, in milliseconds. */
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
  busy: number;
  waiting: { start: () => void; until: number }[];
  started: number;
}

interface Result {
  latencies: number[];
  refused: number;
  failed: number;
  calls: number;
  extra: number;
}

interface Event {
  at: number;
  run: () => void;
}

/** A queue of events on simulated time. */
function createEvents() {
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

function memberOf(index: number): Member {
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

/** Runs one condition with one policy. */
function simulate(
  policyName: string,
  condition: Condition,
  seed: number,
): Result {
  const random = createSeededRandom(seed);
  const events = createEvents();
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
  const members = servers.map((_, index) => memberOf(index));
  const allKnowing = policyName === "all-knowing";
  const ingresses = Array.from({ length: INGRESSES }, (_, index) => ({
    hints: createHints(timer),
    policy: allKnowing
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
  // What the all-knowing bound reads, without any delay.
  const finishAt = servers.map(() => [] as number[]);

  function slownessOf(index: number): number {
    return condition.slowness(index, events.now(), random);
  }

  function serviceTime(index: number): number {
    const varied = 0.5 - 0.5 * Math.log(1 - random.fraction());
    return MEAN_MS * varied * slownessOf(index);
  }

  function trueWait(index: number): number {
    const server = servers[index];
    if (condition.failing === index) {
      return 1e9;
    }
    const queueing = server.busy >= SLOTS
      ? (server.waiting.length + 1) * MEAN_MS * slownessOf(index) / SLOTS
      : 0;
    return MEAN_MS * slownessOf(index) + queueing + server.busy * 1e-3;
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
    const time = serviceTime(index);
    finishAt[index].push(events.now() + time);
    events.after(time, () => {
      release(index);
      done(true);
    });
  }

  /** Offers work to a guard: it runs, waits, or is refused at once. */
  function offer(
    index: number,
    end: (kind: "answer" | "refused" | "error") => void,
  ): void {
    if (condition.failing === index) {
      servers[index].started++;
      events.after(0.2, () => end("error"));
      return;
    }
    const server = servers[index];
    if (server.busy < SLOTS) {
      run(index, () => end("answer"));
      return;
    }
    if (server.waiting.length >= QUEUE_LIMIT) {
      end("refused");
      return;
    }
    const entry = {
      until: events.now() + QUEUE_WAIT_MS,
      start: () => run(index, () => end("answer")),
    };
    server.waiting.push(entry);
    events.after(QUEUE_WAIT_MS, () => {
      const at = server.waiting.indexOf(entry);
      if (at >= 0) {
        server.waiting.splice(at, 1);
        end("refused");
      }
    });
  }

  function choose(ingressIndex: number, tried: Set<number>): number {
    const open = members.map((_, index) => index)
      .filter((index) => !tried.has(index));
    if (open.length === 0) {
      return -1;
    }
    const ingress = ingresses[ingressIndex];
    if (!ingress.policy) {
      return open.reduce((best, index) =>
        trueWait(index) < trueWait(best) ? index : best
      );
    }
    const candidates: Candidate[] = open.map((index) =>
      ingress.hints.candidate(members[index], ingress.domain)
    );
    const chosen = ingress.policy.choose(candidates, random);
    return open[candidates.indexOf(chosen)];
  }

  function loadOf(index: number) {
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
    const counted = startedAt > WARM_UP_MS;
    const ingressIndex = random.integer(INGRESSES);
    const ingress = ingresses[ingressIndex];
    const tried = new Set<number>();
    let attempts = 0;
    let ended = false;
    if (counted) {
      result.calls++;
    }
    ingress.hedgeTokens = Math.min(10, ingress.hedgeTokens + HEDGE_SHARE);

    function finish(kind: "answer" | "refused" | "error"): void {
      if (ended) {
        return;
      }
      ended = true;
      if (!counted) {
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
      const index = choose(ingressIndex, tried);
      if (index < 0 || attempts >= MAX_ATTEMPTS) {
        if (!hedge) {
          finish("refused");
        }
        return;
      }
      tried.add(index);
      attempts++;
      const sentAt = events.now();
      const note = ingress.hints.begin(members[index].server);
      let back = false;
      events.after(HOP_MS, () =>
        offer(index, (kind) => {
          const load = loadOf(index);
          events.after(HOP_MS, () => {
            back = true;
            const latencyMs = events.now() - sentAt;
            note(
              kind === "refused"
                ? undefined
                : { latencyMs, ok: kind === "answer" },
            );
            const age = condition.extraAgeMs ?? 0;
            events.after(age, () =>
              ingress.hints.report(members[index].server, load));
            if (kind === "answer") {
              finish("answer");
            } else if (!ended && !hedge) {
              result.extra += kind === "error" ? 1 : 0;
              attempt(false);
            }
          });
        }));
      if (policyName === "ours" || policyName === "expected_wait") {
        events.after(hedgeDelay(), () => {
          if (!back && !ended && !hedge && ingress.hedgeTokens >= 1) {
            ingress.hedgeTokens--;
            result.extra++;
            attempt(true);
          }
        });
      }
    }
    attempt(false);
  }

  /** Latency quantile of recent answers, as an ingress would know it. */
  function hedgeDelay(): number {
    return recentQuantile;
  }
  let recentQuantile = 30;
  let recentFrom = 0;
  function refreshQuantile(): void {
    const recent = result.latencies.slice(-2_000);
    if (result.latencies.length - recentFrom >= 500) {
      recentFrom = result.latencies.length;
      recent.sort((one, other) => one - other);
      recentQuantile = Math.min(
        recent[Math.floor(recent.length * 0.99)],
        recent[Math.floor(recent.length * 0.5)] * HEDGE_MEDIAN_FACTOR,
      );
    }
    events.after(100, refreshQuantile);
  }
  refreshQuantile();

  const capacity = SERVERS * SLOTS / MEAN_MS;
  const rate = capacity * condition.utilization;
  function arrive(): void {
    call();
    events.after(-Math.log(1 - random.fraction()) / rate, arrive);
  }
  arrive();
  events.run(SECONDS * 1_000);
  return result;
}

function quantile(values: number[], share: number): number {
  return values[
    Math.min(values.length - 1, Math.floor(values.length * share))
  ] ??
    NaN;
}

function spread(values: number[]): string {
  const sorted = [...values].sort((one, other) => one - other);
  const middle = sorted[Math.floor(sorted.length / 2)];
  return `${middle.toFixed(1)} (${sorted[0].toFixed(1)}-${
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
for (const condition of CONDITIONS.filter((one) => one.name.includes(ONLY))) {
  for (const policy of POLICIES) {
    const runs = Array.from({ length: SEEDS }, (_, seed) => {
      const one = simulate(policy, condition, seed + 1);
      one.latencies.sort((a, b) => a - b);
      return one;
    });
    const share = (of: (one: Result) => number): string =>
      spread(runs.map((one) => 100 * of(one) / one.calls));
    process.stdout.write(
      `| ${condition.name} | ${policy} | ` +
        [0.5, 0.99, 0.999].map((q) =>
          spread(runs.map((one) => quantile(one.latencies, q)))
        ).join(" | ") +
        ` | ${share((one) => one.refused)} | ${share((one) => one.failed)} | ` +
        `${share((one) => one.extra)} | ${
          share((one) => one.latencies.length)
        } |\n`,
    );
  }
}
