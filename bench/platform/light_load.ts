/**
 * Processor time of the deployed program while it is young: the first seconds
 * after a start at a few calls a second, where little is compiled yet and idle
 * work counts. Two builds run beside each other, so that what the machine does
 * meanwhile is the same for both.
 *
 * `node dist/bench/platform/light_load.js [--against DIR] [--seconds N]
 * [--rates N,N,...] [--prof DIR]`, after `node deploy/build.mjs` in each
 * @module
 */
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { parseArgs } from "node:util";
import { startBundleFleet } from "./bundle_fleet.ts";
import { load } from "./load.ts";

const NODES = 3;
const SLOTS = 14;
const WORK_MS = 60;
const IDLE_SECONDS = 5;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1e6;
/** Core of a node on the users' platform. */
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

/** What one build took at one rate of calls. */
interface Row {
  build: string;
  /** Calls a second at each node. */
  rate: number;
  /** Core that a node takes without calls. */
  idle: number;
  /** Core that a node takes at this rate. */
  loaded: number;
  /** Both roles of one call, without idle work, in microseconds. */
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
    const before = fleet.processorUs();
    await pause(IDLE_SECONDS * MS_PER_SECOND);
    const idleUs = (fleet.processorUs() - before) / IDLE_SECONDS;
    const startedAt = performance.now();
    const startUs = fleet.processorUs();
    const { calls, failed } = await load(fleet, {
      rate,
      seconds: Number(flags.seconds),
    });
    const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
    const loadedUs = (fleet.processorUs() - startUs) / seconds;
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

/** Calls a second at each node that fill its share of a core. */
function fullAt({ idle, callUs }: Row): number {
  return (CORE_SHARE - idle) * US_PER_SECOND / callUs;
}

function print(row: Row): void {
  process.stdout.write(
    `| ${row.build} | ${row.rate} | ${row.idle.toFixed(4)} | ` +
      `${row.loaded.toFixed(3)} | ${(row.callUs / 1_000).toFixed(2)} | ` +
      `${fullAt(row).toFixed(0)} | ${row.failed} |\n`,
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
    const [other, own] = rows;
    process.stdout.write(
      `| ratio | ${rate} | ${(own.idle / other.idle).toFixed(2)} | ` +
        `${(own.loaded / other.loaded).toFixed(2)} | ` +
        `${(own.callUs / other.callUs).toFixed(2)} | | |\n`,
    );
  }
}
