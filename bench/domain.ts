/**
 * Service while a failure domain leaves and returns, at Sambirano's size: the
 * real control and node roles on a fake clock, with backend servers whose work
 * takes twenty times as long as there, so that fewer calls fill them.
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

interface Phase {
  name: string;
  from: number;
  to: number;
}

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
      coldBears: 4,
    },
  });
  await world.begin();
  const capacity = SERVERS * SLOTS / MEAN_MS;
  const period = 1 / (capacity * utilization);
  let rate = 0.3;
  function arrive(): void {
    const via = world.vms[world.random.integer(SERVERS)].name;
    world.call({ via, path: "/look/1" });
    const gap = -Math.log(1 - world.random.fraction()) * period / rate;
    world.timer.after(gap, arrive);
  }
  arrive();
  await world.timer.advance(WARM_UP_MS / 2);
  rate = 1;
  await world.timer.advance(WARM_UP_MS);
  const phases: Phase[] = [];
  async function phase(name: string): Promise<void> {
    const from = world.timer.now();
    await world.timer.advance(PHASE_MS);
    phases.push({ name, from, to: world.timer.now() });
  }
  await phase("before");
  void world.cluster.propose({ kind: "domain_out", domain });
  await phase("leaving");
  await phase("out");
  void world.cluster.propose({ kind: "domain_back", domain });
  await phase("returning");
  await phase("after");
  rate = 1e-9;
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
      .sort((one, other) => one - other);
    const failed = calls.length - latencies.length;
    const at = (share: number): string =>
      (latencies[Math.floor(latencies.length * share)] ?? NaN).toFixed(0);
    return `| ${utilization * 100} % | ${domain} | ${seed} | ${name} | ` +
      `${calls.length} | ${failed} | ${at(0.5)} | ${at(0.99)} | ${crashed} |`;
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
