/**
 * Measures the processor time of the deployed program in the first seconds
 * after a start, at a few calls per second: little code is compiled by then,
 * and idle work is a large part of the total. With `--against`, another build
 * is measured at the same time, so that other work on the machine affects both
 * alike.
 *
 * `node dist/bench/platform/light_load.js [--against DIR] [--seconds N]
 * [--rates N,N,...] [--prof DIR]`, after `node deploy/build.mjs` in each
 * build's directory
 * @module
 */
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { parseArgs } from "node:util";
import { startBundleFleet } from "./bundle_fleet.ts";
import { generateLoad } from "./load.ts";

const NODES = 3;
const SLOTS = 14;
const WORK_MS = 60;
const IDLE_SECONDS = 5;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1e6;
/** Share of a core that a node gets on the users' platform. */
const CORE_SHARE = 0.54;
const DEFAULT_RATES = "10,30,60,120";
const DEFAULT_SECONDS = "15";

const { values: flags } = parseArgs({
  options: {
    against: { type: "string" },
    seconds: { type: "string", default: DEFAULT_SECONDS },
    rates: { type: "string", default: DEFAULT_RATES },
    prof: { type: "string" },
  },
});

/** Measurements of one build at one rate of calls. */
interface Row {
  build: string;
  /** Calls per second and node. */
  rate: number;
  /** Share of a core that a node uses without calls. */
  idle: number;
  /** Share of a core that a node uses at this rate. */
  loaded: number;
  /**
   * Processor time of one call in microseconds, without idle work: ingress and
   * guard together.
   */
  callUs: number;
  failed: number;
}

async function measure(build: string, rate: number): Promise<Row> {
  const nodeFlags = flags.prof === undefined ? [] : [
    "--cpu-prof",
    "--cpu-prof-interval=250",
    `--cpu-prof-dir=${flags.prof}`,
  ];
  const fleet = await startBundleFleet({
    program: join(build, "target/mustardcross.js"),
    nodes: NODES,
    slots: SLOTS,
    workMs: WORK_MS,
    nodeFlags,
  });
  try {
    const idleStartUs = fleet.readProcessorUs();
    await pause(IDLE_SECONDS * MS_PER_SECOND);
    const idleUs = (fleet.readProcessorUs() - idleStartUs) / IDLE_SECONDS;
    const startedAt = performance.now();
    const loadStartUs = fleet.readProcessorUs();
    const { calls, failed } = await generateLoad(fleet, {
      rate,
      seconds: Number(flags.seconds),
    });
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    const loadedUs = (fleet.readProcessorUs() - loadStartUs) / seconds;
    return {
      build,
      rate,
      idle: idleUs / NODES / US_PER_SECOND,
      loaded: loadedUs / NODES / US_PER_SECOND,
      callUs: (loadedUs - idleUs) * seconds / calls,
      failed,
    };
  } finally {
    await fleet.stop();
  }
}

/** Returns the calls per second at which a node uses up its share of a core. */
function estimateCapacity({ idle, callUs }: Row): number {
  return (CORE_SHARE - idle) * US_PER_SECOND / callUs;
}

function print(row: Row): void {
  process.stdout.write(
    `| ${row.build} | ${row.rate} | ${row.idle.toFixed(4)} | ` +
      `${row.loaded.toFixed(3)} | ${(row.callUs / 1_000).toFixed(2)} | ` +
      `${estimateCapacity(row).toFixed(0)} | ${row.failed} |\n`,
  );
}

const builds = [
  ...(flags.against === undefined ? [] : [flags.against]),
  ".",
];
process.stdout.write(
  "| build | calls/s a node | idle, cores a node | loaded, cores a node | " +
    `ms a call, both roles, idle apart | ${CORE_SHARE} of a core is full at, ` +
    "calls/s | failed |\n|---|---|---|---|---|---|---|\n",
);
for (const rate of flags.rates.split(",").map(Number)) {
  const rows = await Promise.all(builds.map((build) => measure(build, rate)));
  rows.forEach(print);
  if (rows.length > 1) {
    const [baseline, current] = rows;
    process.stdout.write(
      `| ratio | ${rate} | ${(current.idle / baseline.idle).toFixed(2)} | ` +
        `${(current.loaded / baseline.loaded).toFixed(2)} | ` +
        `${(current.callUs / baseline.callUs).toFixed(2)} | | |\n`,
    );
  }
}
