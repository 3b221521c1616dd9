/**
 * Measures latencies and failures while a failure domain is withdrawn and
 * restored, at the size of the site Sambirano: the real control and node roles
 * on a fake clock. Requests take twenty times as long as at that site, so that
 * fewer simulated calls load the backend servers as much.
 *
 * `node dist/bench/domain.js [seeds]`
 * @module
 */
import { siteSchema } from "../src/settings/site.ts";
import { createWorld, SERVICE } from "../tests/scenario/world.ts";

const SEEDS = Number(process.argv[2] ?? 3);
const SERVERS = 7;
const SLOTS = 17;
const MEAN_MS = 100;
const WARM_UP_MS = 15_000;
const PHASE_MS = 10_000;
const DOMAINS = ["ambanja", "antsiranana", "nosy-be", "maromandia"];

/** A part of a run; its times are those of the fake clock. */
interface Phase {
  name: string;
  from: number;
  to: number;
}

/** Simulates one withdrawal and restoration; returns a row for each phase. */
async function run(
  seed: number,
  options: { utilization: number; domain: string },
): Promise<string[]> {
  const { utilization, domain } = options;
  const site = siteSchema.parse({
    name: "sambirano",
    domains: DOMAINS,
    services: {
      [SERVICE]: {
        team: "lots",
        slots: SLOTS,
        connections: 260,
        routes: {
          look: {
            path: "/look/*",
            class: "lookup",
            repeatable: true,
            hedge: true,
            deadline_ms: 3_000,
          },
        },
      },
    },
  });
  const world = createWorld({
    seed,
    site,
    servers: SERVERS,
    shape: {
      slots: SLOTS,
      meanMs: MEAN_MS,
      coldCompletions: 60,
      coldFactor: 3,
      coldConcurrencyLimit: 4,
    },
  });
  await world.start();
  const capacity = SERVERS * SLOTS / MEAN_MS;
  const meanIntervalMs = 1 / (capacity * utilization);
  let rateFactor = 0.3;
  function generateCalls(): void {
    const via = world.vms[world.random.integer(SERVERS)].name;
    world.call({ via, path: "/look/1" });
    const intervalMs = -Math.log(1 - world.random.fraction()) * meanIntervalMs /
      rateFactor;
    world.timer.after(intervalMs, generateCalls);
  }
  generateCalls();
  await world.timer.advance(WARM_UP_MS / 2);
  rateFactor = 1;
  await world.timer.advance(WARM_UP_MS);
  const phases: Phase[] = [];
  async function runPhase(name: string): Promise<void> {
    const from = world.timer.now();
    await world.timer.advance(PHASE_MS);
    phases.push({ name, from, to: world.timer.now() });
  }
  await runPhase("before");
  void world.cluster.propose({ kind: "domain_out", domain });
  await runPhase("leaving");
  await runPhase("out");
  void world.cluster.propose({ kind: "domain_back", domain });
  await runPhase("returning");
  await runPhase("after");
  // At this rate practically no further call starts, so that all calls end.
  rateFactor = 1e-9;
  await world.timer.advance(5_000);
  const crashed = world.vms.filter((vm) => !vm.server.up).length;
  return phases.map(({ name, from, to }) => {
    const calls = world.calls.filter((call) =>
      call.startedAt >= from && call.startedAt < to
    );
    const latencies = calls
      .filter((call) =>
        call.reply?.outcome === "ran" && call.reply.status === 200
      )
      .map((call) => call.endedAt - call.startedAt)
      .sort((first, second) => first - second);
    const failed = calls.length - latencies.length;
    const quantile = (share: number): string =>
      (latencies[Math.floor(latencies.length * share)] ?? NaN).toFixed(0);
    return `| ${utilization * 100} % | ${domain} | ${seed} | ${name} | ` +
      `${calls.length} | ${failed} | ${quantile(0.5)} | ${
        quantile(0.99)
      } | ${crashed} |`;
  });
}

process.stdout.write(
  "| load | domain | seed | phase | calls | failed | p50 ms | p99 ms | servers down |\n" +
    "|---|---|---|---|---|---|---|---|---|\n",
);
for (const utilization of [0.5, 0.75]) {
  // The first domain holds two of the seven servers, the last one only one.
  for (const domain of [DOMAINS[0], DOMAINS[3]]) {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const rows = await run(seed, { utilization, domain });
      process.stdout.write(rows.join("\n") + "\n");
    }
  }
}
process.exit(0);
