/**
 * Processor time of nodes at light load, where much of the code is not compiled
 * yet and idle work counts: idle, then at a few calls a second from a start.
 *
 * `node dist/bench/light_load.js [seconds] [calls/s] [runtime flag ...]`
 * @module
 */
import { Agent, request } from "undici";
import { metric, startFleet } from "./fleet.ts";

const [secondsText = "20", rateText = "30", ...nodeFlags] = process.argv
  .slice(2);
const SECONDS = Number(secondsText);
const RATE = Number(rateText);
const IDLE_SECONDS = 8;
const WORK_MS = 40;
const MS_PER_SECOND = 1_000;
const US_PER_SECOND = 1e6;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function processorSeconds(locals: readonly string[]): Promise<number[]> {
  return Promise.all(
    locals.map((one) => metric(one, "mustardcross_processor_seconds")),
  );
}

const fleet = await startFleet({ nodeFlags, workMs: WORK_MS });
const agent = new Agent({ connections: 64, pipelining: 1 });

async function call(): Promise<void> {
  const answer = await request(
    `http://${fleet.nodes[0].caller}/billing/accounts/7`,
    { dispatcher: agent },
  );
  await answer.body.dump();
}

try {
  const locals = fleet.nodes.map(({ local }) => local);
  const before = await processorSeconds(locals);
  await pause(IDLE_SECONDS * MS_PER_SECOND);
  const idle = await processorSeconds(locals);
  const calls: Promise<void>[] = [];
  for (let count = 0; count < SECONDS * RATE; count++) {
    calls.push(call());
    await pause(MS_PER_SECOND / RATE);
  }
  await Promise.all(calls);
  const after = await processorSeconds(locals);
  const memory = await Promise.all(
    locals.map((one) => metric(one, "mustardcross_memory_bytes")),
  );
  process.stdout.write(
    "| role | idle, cores | µs/call, idle included | rss MB |\n" +
      "|---|---|---|---|\n",
  );
  ["ingress", "guard"].forEach((role, index) => {
    const idleCores = (idle[index] - before[index]) / IDLE_SECONDS;
    const perCall = (after[index] - idle[index]) / calls.length;
    process.stdout.write(
      `| ${role} | ${idleCores.toFixed(4)} | ` +
        `${(perCall * US_PER_SECOND).toFixed(0)} | ` +
        `${(memory[index] / 2 ** 20).toFixed(0)} |\n`,
    );
  });
} finally {
  fleet.stop();
  await agent.close();
}
