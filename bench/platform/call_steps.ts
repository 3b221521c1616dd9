/**
 * Counts the functions that run for one call through two nodes, and in an idle
 * node, by module and including those of the Node.js runtime. In a process that
 * has just started, the counts show what takes processor time, and unlike times
 * they do not vary with the load of the machine.
 *
 * `node dist/bench/platform/call_steps.js [DIR]`, after `node
 * deploy/build.mjs` in DIR
 * @module
 */
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { type BundleFleet, startBundleFleet } from "./bundle_fleet.ts";
import { generateLoad } from "./load.ts";
import { COUNTS_PREFIX, type FunctionCounts } from "./function_counts.ts";

const [root = "."] = process.argv.slice(2);
const NODES = 3;
const SLOTS = 14;
const WORK_MS = 60;
/** Calls per second and node. */
const RATE = 30;
const WARM_UP_SECONDS = 3;
const IDLE_SECONDS = 5;
const LOAD_SECONDS = 10;
/** Time within which nodes write their counts after a signal. */
const REPORT_WAIT_MS = 800;
const MS_PER_SECOND = 1_000;
const MAX_ROWS = 30;

type Counts = Map<string, number>;

/** Sums up the counts that all nodes reported in a round. */
function sumCounts(fleet: BundleFleet, wantedRound: number): Counts {
  const sum: Counts = new Map();
  for (const line of fleet.errors().split("\n")) {
    if (!line.startsWith(COUNTS_PREFIX)) {
      continue;
    }
    const text = line.slice(COUNTS_PREFIX.length);
    const { round, counts } = JSON.parse(text) as FunctionCounts;
    for (const [name, count] of Object.entries(counts)) {
      const added = round === wantedRound ? count : 0;
      sum.set(name, (sum.get(name) ?? 0) + added);
    }
  }
  return sum;
}

function total(counts: Counts): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0);
}

function print(title: string, counts: Counts): void {
  const sorted = [...counts].sort(([, first], [, second]) => second - first);
  const rows = sorted.slice(0, MAX_ROWS)
    .map(([name, count]) => `| ${name} | ${count.toFixed(1)} |\n`);
  process.stdout.write(
    `| ${title} | ${total(counts).toFixed(0)} |\n|---|---|\n` +
      `${rows.join("")}\n`,
  );
}

/**
 * Starts the counting, or ends a round of it, in all nodes. Returns the time
 * once the nodes have reported, in milliseconds.
 */
async function startRound(): Promise<number> {
  fleet.signal("SIGUSR2");
  await pause(REPORT_WAIT_MS);
  return performance.now();
}

const fleet = await startBundleFleet({
  program: join(root, "target/mustardcross.js"),
  nodes: NODES,
  slots: SLOTS,
  workMs: WORK_MS,
  nodeFlags: [`--import=${new URL("./function_counter.js", import.meta.url)}`],
});
try {
  await generateLoad(fleet, { rate: RATE, seconds: WARM_UP_SECONDS });
  await startRound();
  const idleStartedAt = await startRound();
  await pause(IDLE_SECONDS * MS_PER_SECOND);
  const loadStartedAt = await startRound();
  const { calls } = await generateLoad(fleet, {
    rate: RATE,
    seconds: LOAD_SECONDS,
  });
  const endedAt = await startRound();
  // Round 1 ended before the idle period; it is left out.
  const idleCounts = sumCounts(fleet, 2);
  const perMs = new Map(
    [...idleCounts].map((
      [name, count],
    ) => [name, count / (loadStartedAt - idleStartedAt)]),
  );
  const loadCounts = sumCounts(fleet, 3);
  const perCall = new Map(
    [...loadCounts].map(([name, count]) => {
      const idleCount = (perMs.get(name) ?? 0) * (endedAt - loadStartedAt);
      return [name, (count - idleCount) / calls];
    }),
  );
  print("functions a call, rest apart", perCall);
  const perSecond = [...perMs].map((
    [name, count],
  ): [string, number] => [name, count * MS_PER_SECOND / NODES]);
  print("functions a second, a node at rest", new Map(perSecond));
} finally {
  await fleet.stop();
}
