/**
 * Starts a small fleet of real processes for benchmarks: a control replica, two
 * nodes, and a backend server on the second node's VM.
 * @module
 */
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { findFreePorts } from "../src/demo/ports.ts";

const HOST = "127.0.0.1";
const HERE = dirname(fileURLToPath(import.meta.url));
const MAIN = join(HERE, "../src/cli/main.js");
const STANDIN = join(HERE, "../src/standin/main.js");
const EXAMPLES = join(HERE, "../../examples");
const READY_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const PORTS = 10;
/** Seed of the backend server's random numbers. */
const SEED = 1;

/** A node of the fleet. */
export interface FleetNode {
  /** Address where the node takes callers' requests. */
  caller: string;
  /** Address where the node serves its metrics. */
  local: string;
}

/** A running fleet that has served a call. */
export interface Fleet {
  nodes: FleetNode[];
  /** Address of the backend server. */
  backend: string;
  /** Kills all processes and removes their files. */
  stop(): void;
}

interface RunningProcess {
  kill(): void;
}

function start(script: string, args: string[]): RunningProcess {
  const child = spawn(process.execPath, [script, ...args], {
    stdio: "ignore",
  });
  return { kill: () => child.kill("SIGKILL") };
}

/** Returns the value of a metric that a node serves; NaN if it has none. */
export async function readMetric(local: string, name: string): Promise<number> {
  const answer = await request(`http://${local}/metrics`);
  const text = await answer.body.text();
  const line = text.split("\n").find((row) => row.startsWith(name + " "));
  return Number(line?.split(" ")[1] ?? NaN);
}

async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (Date.now() < deadline) {
    if (await condition().catch(() => false)) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }
  throw new Error("the fleet did not become ready in time");
}

function applySite(admin: string): Promise<boolean> {
  const applied = spawn(process.execPath, [
    MAIN,
    "apply",
    join(EXAMPLES, "base.toml"),
    join(EXAMPLES, "rajkot.toml"),
    "--admin",
    admin,
  ], {
    stdio: "ignore",
    env: { ...process.env, MUSTARDCROSS_TOKEN: "bench-token" },
  });
  return new Promise((resolve) =>
    applied.once("exit", (code) => resolve(code === 0))
  );
}

/**
 * Starts a fleet and waits until it has served a call. Only the second node has
 * a backend server: a call to the first node takes two hops, a call to the
 * second node takes one.
 */
export async function startFleet(): Promise<Fleet> {
  const folder = mkdtempSync(join(tmpdir(), "mustardcross-bench-"));
  const ports = await findFreePorts(PORTS);
  const addressAt = (index: number): string => `${HOST}:${ports[index]}`;
  const processes: RunningProcess[] = [];
  function stop(): void {
    processes.forEach((running) => running.kill());
    rmSync(folder, { recursive: true, force: true });
  }
  try {
    const tokenFile = join(folder, "tokens");
    writeFileSync(tokenFile, "bench bench-token\n");
    const controlFile = join(folder, "control.toml");
    writeFileSync(
      controlFile,
      `vm = "c1"\ndomain = "d"\ncontrol_addresses = ["${
        addressAt(0)
      }"]\n[control]\n` +
        `rpc_address = "${addressAt(0)}"\nadmin_address = "${addressAt(1)}"\n` +
        `token_file = "${tokenFile}"\ndata = "${join(folder, "data")}"\n` +
        `[control.founders]\nc1 = "${addressAt(0)}"\n`,
    );
    processes.push(start(MAIN, ["control", "--settings", controlFile]));
    const nodes = [0, 1].map((index) => {
      const file = join(folder, `node${index}.toml`);
      const [caller, peer, local] = [0, 1, 2].map((n) =>
        addressAt(2 + 3 * index + n)
      );
      writeFileSync(
        file,
        `vm = "vm${index}"\ndomain = "race-course"\n` +
          `control_addresses = ["${addressAt(0)}"]\n[node]\n` +
          `caller_address = "${caller}"\npeer_address = "${peer}"\n` +
          `local_address = "${local}"\n`,
      );
      processes.push(start(MAIN, ["node", "--settings", file]));
      return { caller, local };
    });
    const backend = addressAt(8);
    processes.push(
      start(STANDIN, [
        "billing",
        backend,
        nodes[1].local,
        String(SEED),
        "0.001",
      ]),
    );
    await waitUntil(() => applySite(addressAt(1)));
    await waitUntil(async () => {
      const answer = await request(
        `http://${nodes[0].caller}/billing/accounts/1`,
      );
      await answer.body.dump();
      return answer.statusCode === 200;
    });
    return { nodes, backend, stop };
  } catch (error) {
    stop();
    throw error;
  }
}
