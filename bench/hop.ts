/**
 * What nodes add to a call over real sockets: each call through the system is
 * paired with a direct one to the same backend server in the same run.
 *
 * `node dist/bench/hop.js [seconds] [rate ...]`
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { Agent, request } from "undici";
import { build } from "hdr-histogram-js";
import { freePorts } from "../src/demo/ports.ts";

const SECONDS = Number(process.argv[2] ?? 8);
const RATES = process.argv.slice(3).map(Number);
const DEFAULT_RATES = [50, 500, 2_000];
const HOST = "127.0.0.1";
const HERE = dirname(fileURLToPath(import.meta.url));
const MAIN = join(HERE, "../src/cli/main.js");
const STANDIN = join(HERE, "../src/standin/main.js");
const EXAMPLES = join(HERE, "../../examples");
const WAIT_MS = 20_000;

interface Started {
  pid: number;
  kill(): void;
}

function start(script: string, args: string[]): Started {
  const child = spawn(process.execPath, [script, ...args], { stdio: "ignore" });
  return { pid: child.pid ?? 0, kill: () => child.kill("SIGKILL") };
}

function histogram() {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 60_000_000,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

async function metric(local: string, name: string): Promise<number> {
  const answer = await request(`http://${local}/metrics`);
  const text = await answer.body.text();
  const line = text.split("\n").find((one) => one.startsWith(name + " "));
  return Number(line?.split(" ")[1] ?? NaN);
}

async function until(condition: () => Promise<boolean>): Promise<void> {
  const end = Date.now() + WAIT_MS;
  while (Date.now() < end) {
    if (await condition().catch(() => false)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  throw new Error("the fleet did not become ready");
}

async function main(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-bench-"));
  const ports = await freePorts(10);
  const at = (index: number): string => `${HOST}:${ports[index]}`;
  const started: Started[] = [];
  try {
    const tokens = join(folder, "tokens");
    writeFileSync(tokens, "bench bench-token\n");
    const control = join(folder, "control.toml");
    writeFileSync(
      control,
      `vm = "c1"\ndomain = "d"\ncontrol_addresses = ["${at(0)}"]\n[control]\n` +
        `rpc_address = "${at(0)}"\nadmin_address = "${at(1)}"\n` +
        `token_file = "${tokens}"\ndata = "${join(folder, "data")}"\n` +
        `[control.founders]\nc1 = "${at(0)}"\n`,
    );
    started.push(start(MAIN, ["control", "--settings", control]));
    const nodes = [0, 1].map((index) => {
      const file = join(folder, `node${index}.toml`);
      const [caller, peer, local] = [0, 1, 2].map((n) => at(2 + 3 * index + n));
      writeFileSync(
        file,
        `vm = "vm${index}"\ndomain = "race-course"\n` +
          `control_addresses = ["${at(0)}"]\n[node]\n` +
          `caller_address = "${caller}"\npeer_address = "${peer}"\n` +
          `local_address = "${local}"\n`,
      );
      return { ...start(MAIN, ["node", "--settings", file]), caller, local };
    });
    started.push(...nodes);
    // Only the second node has a backend server: a call to the first takes two
    // hops, a call to the second takes one.
    const backend = at(8);
    started.push(
      start(STANDIN, ["billing", backend, nodes[1].local, "1", "0.001"]),
    );
    await until(async () => {
      const applied = spawn(process.execPath, [
        MAIN,
        "apply",
        join(EXAMPLES, "base.toml"),
        join(EXAMPLES, "rajkot.toml"),
        "--admin",
        at(1),
      ], {
        stdio: "ignore",
        env: { ...process.env, MUSTARDCROSS_TOKEN: "bench-token" },
      });
      return await new Promise<boolean>((resolve) =>
        applied.once("exit", (code) => resolve(code === 0))
      );
    });
    await until(async () => {
      const answer = await request(
        `http://${nodes[0].caller}/billing/accounts/1`,
      );
      await answer.body.dump();
      return answer.statusCode === 200;
    });
    process.stdout.write(
      "| calls/s | path | p50 ms | p99 ms | added p50 ms | added p99 ms | " +
        "node cpu µs/call | gc ms/s | loop p99 ms |\n" +
        "|---|---|---|---|---|---|---|---|---|\n",
    );
    for (const rate of RATES.length > 0 ? RATES : DEFAULT_RATES) {
      await measure(rate, { nodes, backend });
    }
  } finally {
    started.forEach((one) => one.kill());
    rmSync(folder, { recursive: true, force: true });
  }
}

/** Calls all three paths in turn at a rate, and prints a row for each. */
async function measure(
  rate: number,
  fleet: { nodes: { caller: string; local: string }[]; backend: string },
): Promise<void> {
  const { nodes, backend } = fleet;
  const agent = new Agent({ connections: 64, pipelining: 1 });
  const paths = [
    { name: "direct", address: backend, local: "" },
    { name: "one hop", address: nodes[1].caller, local: nodes[1].local },
    { name: "two hops", address: nodes[0].caller, local: nodes[0].local },
  ].map((path) => ({ ...path, times: histogram(), added: histogram() }));

  async function once(address: string): Promise<number> {
    const startedAt = performance.now();
    const answer = await request(`http://${address}/billing/accounts/7`, {
      dispatcher: agent,
    });
    await answer.body.arrayBuffer();
    return performance.now() - startedAt;
  }

  async function pair(): Promise<void> {
    const times: number[] = [];
    for (const path of paths) {
      const ms = await once(path.address);
      times.push(ms);
      path.times.recordValue(Math.max(1, Math.round(ms * 1_000)));
    }
    paths.forEach((path, index) => {
      const added = Math.max(1, Math.round((times[index] - times[0]) * 1_000));
      path.added.recordValue(added);
    });
  }

  // A warm-up that is not counted lets the compiler do its work.
  for (let count = 0; count < 1_500; count++) {
    await Promise.all(paths.map((path) => once(path.address)));
  }
  const before = await Promise.all(
    paths.slice(1).map((path) =>
      metric(path.local, "mustardcross_processor_seconds")
    ),
  );
  const gcBefore = await Promise.all(
    paths.slice(1).map((path) =>
      metric(path.local, "mustardcross_gc_pause_seconds")
    ),
  );
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  const pairs = rate * SECONDS;
  for (let count = 0; count < pairs; count++) {
    const due = startedAt + count * 1_000 / rate;
    const wait = due - performance.now();
    if (wait > 0.5) {
      await new Promise((resolve) => setTimeout(resolve, wait));
    }
    running.push(pair());
  }
  await Promise.all(running);
  const wall = (performance.now() - startedAt) / 1_000;
  for (const [index, path] of paths.entries()) {
    const ms = (times: ReturnType<typeof histogram>, p: number): string =>
      (times.getValueAtPercentile(p) / 1_000).toFixed(2);
    let cost = "- | - | -";
    if (index > 0) {
      const cpu = await metric(path.local, "mustardcross_processor_seconds") -
        before[index - 1];
      const gc = await metric(path.local, "mustardcross_gc_pause_seconds") -
        gcBefore[index - 1];
      const loop = await metric(
        path.local,
        "mustardcross_event_loop_delay_p99_seconds",
      );
      // The second node takes part in both paths.
      const calls = index === 1 ? pairs * 2 : pairs;
      cost = `${(cpu / calls * 1e6).toFixed(0)} | ` +
        `${(gc / wall * 1e3).toFixed(1)} | ${(loop * 1e3).toFixed(1)}`;
    }
    process.stdout.write(
      `| ${rate} | ${path.name} | ${ms(path.times, 50)} | ${
        ms(path.times, 99)
      } | ` +
        `${index > 0 ? ms(path.added, 50) : "-"} | ` +
        `${index > 0 ? ms(path.added, 99) : "-"} | ${cost} |\n`,
    );
  }
  await agent.close();
}

await main();
