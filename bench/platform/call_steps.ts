/**
 * How many functions a call of two nodes runs through, and a node at rest, by
 * module and with the runtime's own: what costs processor time in a process
 * that has only just begun, told without a clock.
 *
 * `node dist/bench/platform/call_steps.js [DIR]`, after `node
 * deploy/build.mjs` in DIR
 * @module
 */
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { type BundleFleet, startBundleFleet } from "./bundle_fleet.ts";
import { load } from "./load.ts";
import { type Steps, STEPS_PREFIX } from "./steps.ts";

const [root = "."] = process.argv.slice(2);
const NODES = 3;
const SLOTS = 14;
const WORK_MS = 60;
/** Calls a second at each node. */
const RATE = 30;
const WARM_SECONDS = 3;
const REST_SECONDS = 5;
const LOAD_SECONDS = 10;
/** Time in which nodes tell their counts, in milliseconds. */
const TELL_MS = 800;
const MS_PER_SECOND = 1_000;
const SHOWN = 30;

type Counts = Map<string, number>;

/** Sums up what all nodes told in a round. */
function countsOf(fleet: BundleFleet, wanted: number): Counts {
  const sum: Counts = new Map();
  for (const line of fleet.errors().split("\n")) {
    if (!line.startsWith(STEPS_PREFIX)) {
      continue;
    }
    const text = line.slice(STEPS_PREFIX.length);
    const { round, counts } = JSON.parse(text) as Steps;
    for (const [name, count] of Object.entries(counts)) {
      const more = round === wanted ? count : 0;
      sum.set(name, (sum.get(name) ?? 0) + more);
    }
  }
  return sum;
}

function total(counts: Counts): number {
  return [...counts.values()].reduce((sum, one) => sum + one, 0);
}

function print(title: string, counts: Counts): void {
  const sorted = [...counts].sort(([, one], [, other]) => other - one);
  const rows = sorted.slice(0, SHOWN)
    .map(([name, count]) => `| ${name} | ${count.toFixed(1)} |\n`);
  process.stdout.write(
    `| ${title} | ${total(counts).toFixed(0)} |\n|---|---|\n` +
      `${rows.join("")}\n`,
  );
}

/** Begins the counting, or ends a round of it; returns the time in ms. */
async function turn(): Promise<number> {
  fleet.signal("SIGUSR2");
  await pause(TELL_MS);
  return performance.now();
}

const fleet = await startBundleFleet({
  program: join(root, "target/mustardcross.js"),
  nodes: NODES,
  slots: SLOTS,
  workMs: WORK_MS,
  nodeFlags: [`--import=${new URL("./step_counter.js", import.meta.url)}`],
});
try {
  await load(fleet, { rate: RATE, seconds: WARM_SECONDS });
  await turn();
  const restAt = await turn();
  await pause(REST_SECONDS * MS_PER_SECOND);
  const loadAt = await turn();
  const { calls } = await load(fleet, { rate: RATE, seconds: LOAD_SECONDS });
  const endAt = await turn();
  const rest = countsOf(fleet, 2);
  const perMs = new Map(
    [...rest].map(([name, count]) => [name, count / (loadAt - restAt)]),
  );
  const loaded = countsOf(fleet, 3);
  const perCall = new Map(
    [...loaded].map(([name, count]) => {
      const atRest = (perMs.get(name) ?? 0) * (endAt - loadAt);
      return [name, (count - atRest) / calls];
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
