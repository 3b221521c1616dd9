/**
 * Measures the latency that one and two nodes add to a call over real sockets.
 * Each call through the nodes is compared with a call made just before it to
 * the same backend server directly.
 *
 * `node dist/bench/hop.js [seconds] [rate ...]`
 * @module
 */
import { Agent, request } from "undici";
import { build } from "hdr-histogram-js";
import { type Fleet, readMetric, startFleet } from "./fleet.ts";

const SECONDS = Number(process.argv[2] ?? 8);
const RATES = process.argv.slice(3).map(Number);
const DEFAULT_RATES = [50, 500, 2_000];

function histogram() {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

async function main(): Promise<void> {
  const fleet = await startFleet();
  try {
    process.stdout.write(
      "| calls/s | path | p50 ms | p99 ms | added p50 ms | added p99 ms | " +
        "node cpu µs/call | gc ms/s | loop p99 ms |\n" +
        "|---|---|---|---|---|---|---|---|---|\n",
    );
    for (const rate of RATES.length > 0 ? RATES : DEFAULT_RATES) {
      await measure(rate, fleet);
    }
  } finally {
    fleet.stop();
  }
}

/** Calls each path at a rate, and prints a row of results for each. */
async function measure(rate: number, fleet: Fleet): Promise<void> {
  const { nodes, backend } = fleet;
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const paths = [
    { name: "direct", address: backend, metricsAddress: "" },
    {
      name: "one hop",
      address: nodes[1].caller,
      metricsAddress: nodes[1].local,
    },
    {
      name: "two hops",
      address: nodes[0].caller,
      metricsAddress: nodes[0].local,
    },
  ].map((path) => ({ ...path, times: histogram(), added: histogram() }));

  async function timeCall(address: string): Promise<number> {
    const startedAt = performance.now();
    const answer = await request(`http://${address}/billing/accounts/7`, {
      dispatcher: agent,
    });
    await answer.body.arrayBuffer();
    return performance.now() - startedAt;
  }

  async function measureOnce(): Promise<void> {
    const times: number[] = [];
    for (const path of paths) {
      const ms = await timeCall(path.address);
      times.push(ms);
      path.times.recordValue(Math.max(1, Math.round(ms * 1_000)));
    }
    paths.forEach((path, index) => {
      const added = Math.max(1, Math.round((times[index] - times[0]) * 1_000));
      path.added.recordValue(added);
    });
  }

  // Results of the warm-up, in which the runtime compiles the code, are
  // dropped.
  for (let count = 0; count < 1_500; count++) {
    await Promise.all(paths.map((path) => timeCall(path.address)));
  }
  const cpuBefore = await Promise.all(
    paths.slice(1).map((path) =>
      readMetric(path.metricsAddress, "mustardcross_processor_seconds")
    ),
  );
  const gcBefore = await Promise.all(
    paths.slice(1).map((path) =>
      readMetric(path.metricsAddress, "mustardcross_gc_pause_seconds")
    ),
  );
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  const rounds = rate * SECONDS;
  for (let count = 0; count < rounds; count++) {
    const dueAt = startedAt + count * 1_000 / rate;
    const waitMs = dueAt - performance.now();
    if (waitMs > 0.5) {
      await new Promise((resolve) => setTimeout(resolve, waitMs));
    }
    running.push(measureOnce());
  }
  await Promise.all(running);
  const seconds = (performance.now() - startedAt) / 1_000;
  for (const [index, path] of paths.entries()) {
    const ms = (times: ReturnType<typeof histogram>, p: number): string =>
      (times.getValueAtPercentile(p) / 1_000).toFixed(2);
    let nodeColumns = "- | - | -";
    if (index > 0) {
      const cpu = await readMetric(
        path.metricsAddress,
        "mustardcross_processor_seconds",
      ) -
        cpuBefore[index - 1];
      const gc =
        await readMetric(path.metricsAddress, "mustardcross_gc_pause_seconds") -
        gcBefore[index - 1];
      const loop = await readMetric(
        path.metricsAddress,
        "mustardcross_event_loop_delay_p99_seconds",
      );
      // The second node handles the calls of both paths.
      const calls = index === 1 ? rounds * 2 : rounds;
      nodeColumns = `${(cpu / calls * 1e6).toFixed(0)} | ` +
        `${(gc / seconds * 1e3).toFixed(1)} | ${(loop * 1e3).toFixed(1)}`;
    }
    process.stdout.write(
      `| ${rate} | ${path.name} | ${ms(path.times, 50)} | ${
        ms(path.times, 99)
      } | ` +
        `${index > 0 ? ms(path.added, 50) : "-"} | ` +
        `${index > 0 ? ms(path.added, 99) : "-"} | ${nodeColumns} |\n`,
    );
  }
  await agent.close();
}

await main();
